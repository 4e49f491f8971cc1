// The platform's transactional table service, as the core asks for it.
#ifndef KINGCUPSLIP_CORE_TABLE_HPP
#define KINGCUPSLIP_CORE_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

/// How a call to the table ended.
enum class table_status : std::uint8_t {
  ok,
  conflict,    ///< a version differed; nothing was written
  unavailable, ///< surely nothing was written
  unknown      ///< the answer was lost; the write may have taken effect
};

/// A row; versions are never used twice, even after deletion.
struct table_row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// One row of a transaction. Version 0 expects that the row is absent.
struct table_write {
  std::string key;
  std::uint64_t expected_version = 0;
  std::optional<std::string> value; ///< nothing deletes the row
  bool check_only = false;
};

/// All of it takes effect, or none.
using table_transaction = std::vector<table_write>;

/// Rows whose keys begin with `prefix` and come after `after`, in order.
struct table_query {
  std::string prefix;
  std::string after;
  std::size_t row_limit = 10'000;
};

/// `version` is that of every row written.
using commit_handler =
    std::function<void(table_status status, std::uint64_t version)>;
using read_handler =
    std::function<void(table_status status, std::vector<table_row> rows)>;

/// Hooks to the service. Handlers are called later, from the core's thread.
struct table_hooks {
  std::function<void(table_query, read_handler)> read;
  std::function<void(table_transaction, commit_handler)> commit;
};

} // namespace kingcupslip

#endif
