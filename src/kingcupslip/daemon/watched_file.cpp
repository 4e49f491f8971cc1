// The state of a file by which a change is noticed.
#include "kingcupslip/daemon/watched_file.hpp"

#include "kingcupslip/daemon/daemon_common.hpp"

#include <sys/stat.h>

#include <tuple>
#include <utility>

namespace kingcupslip {

watched_file::watched_file(std::string path) : m_path(std::move(path)) {}

std::optional<std::string> watched_file::read() {
  // A change after this is noticed, though its contents may be read here.
  m_read_state = current_state();
  return read_file(m_path);
}

bool watched_file::changed() const {
  const std::optional<file_state> now = current_state();
  if (!now || !m_read_state) {
    return now.has_value() != m_read_state.has_value();
  }
  const auto key = [](const file_state& s) {
    return std::make_tuple(s.device, s.inode, s.size, s.modified_at.tv_sec,
                           s.modified_at.tv_nsec);
  };
  return key(*now) != key(*m_read_state);
}

std::optional<watched_file::file_state> watched_file::current_state() const {
  struct stat s {};
  if (stat(m_path.c_str(), &s) != 0) {
    return std::nullopt;
  }
  return file_state{s.st_dev, s.st_ino, s.st_size, s.st_mtim};
}

} // namespace kingcupslip
