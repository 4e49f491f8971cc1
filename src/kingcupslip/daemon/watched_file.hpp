// A file that another process may replace, and whether it has.
#ifndef KINGCUPSLIP_DAEMON_WATCHED_FILE_HPP
#define KINGCUPSLIP_DAEMON_WATCHED_FILE_HPP

#include <sys/types.h>

#include <ctime>
#include <optional>
#include <string>

namespace kingcupslip {

/// Reads a file, and tells at the cost of one system call whether it has
/// changed since.
class watched_file {
public:
  explicit watched_file(std::string path);

  /// The file's contents; null if it cannot be read.
  std::optional<std::string> read();

  /// Whether the file was replaced or written since `read`. A write in place
  /// that keeps the size, within the resolution of the file's time, goes
  /// unnoticed.
  bool changed() const;

private:
  struct file_state {
    dev_t device = 0;
    ino_t inode = 0;
    off_t size = 0;
    timespec modified_at{};
  };

  /// Null if there is no such file.
  std::optional<file_state> current_state() const;

  std::string m_path;
  std::optional<file_state> m_read_state;
};

} // namespace kingcupslip

#endif
