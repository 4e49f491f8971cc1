// Interface to the platform's transactional table service.
#ifndef KINGCUPSLIP_CORE_TABLE_HPP
#define KINGCUPSLIP_CORE_TABLE_HPP

#include "kingcupslip/core/rollout.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kingcupslip {

/// Result of a call to the table service.
enum class table_status : std::uint8_t {
  ok,
  conflict,    ///< an expected version did not match; nothing was written
  unavailable, ///< certainly nothing was written
  unknown      ///< the answer was lost; the write may have taken effect
};

/// A row of the table. A version is never used twice, even after deletion.
struct table_row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// One row of a transaction. Expected version 0 means that the row must not
/// exist.
struct table_write {
  std::string key;
  std::uint64_t expected_version = 0;
  std::optional<std::string> value; ///< without a value the row is deleted
  bool check_only = false;          ///< checks the version, but writes nothing
  /// Written for operators in the same transaction.
  std::optional<rollout_status> status = std::nullopt;
};

/// A set of writes that takes effect completely or not at all.
using table_transaction = std::vector<table_write>;

/// Selects rows whose keys begin with `prefix` and sort after `after`, in key
/// order.
struct table_query {
  std::string prefix;
  std::string after;
  std::size_t row_limit = 10'000;
};

/// Receives the result of a commit; `version` is the version of every row
/// written.
using commit_handler =
    std::function<void(table_status status, std::uint64_t version)>;
using read_handler =
    std::function<void(table_status status, std::vector<table_row> rows)>;

/// Calls to the table service. Handlers run later, in the core's thread.
struct table_hooks {
  std::function<void(table_query, read_handler)> read;
  std::function<void(table_transaction, commit_handler)> commit;
};

} // namespace kingcupslip

#endif
