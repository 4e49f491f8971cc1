// Tests the out marks of data centres across restores of the store.
#include "kingcupslip/core/out_marks.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;
using std::chrono::seconds;

TEST_GROUP(out_marks) {
  out_marks marks;
  instant now{seconds(100)};

  bool is_out(const std::string& name) const {
    return marks.out().count(name) != 0;
  }
};

// A node that had the newer marks from a peer went back to those of its own
// watch, which was behind.
TEST(out_marks, an_older_change_is_ignored) {
  marks.apply_all({1, 5}, {}, now);
  marks.apply_all({1, 8}, {}, now);
  marks.apply_change("dc-a", {1, 7}, false);
  CHECK_FALSE(is_out("dc-a"));
  marks.apply_change("dc-a", {1, 9}, false);
  CHECK(is_out("dc-a"));
  marks.apply_all({1, 8}, {}, now);
  CHECK(is_out("dc-a"));
}

TEST(out_marks, a_late_change_from_before_a_restore_is_ignored) {
  marks.apply_all({1, 9}, {}, now);
  marks.apply_all({2, 5}, {}, now);
  marks.apply_change("dc-a", {1, 10}, false);
  CHECK_FALSE(is_out("dc-a"));
}

TEST(out_marks, what_was_in_force_stays_until_the_settling_time_ends) {
  marks.apply_all({1, 4}, {{"dc-a", 3}}, now);
  marks.apply_change("dc-a", {1, 5}, true);
  marks.apply_change("dc-b", {1, 6}, false);
  marks.apply_all({2, 4}, {{"dc-a", 3}}, now);
  CHECK_FALSE(is_out("dc-a"));
  CHECK(is_out("dc-b"));
  now += seconds(60);
  marks.tick(now);
  CHECK(is_out("dc-a"));
  CHECK_FALSE(is_out("dc-b"));
  CHECK_FALSE(marks.settling());
}

TEST(out_marks, a_mark_that_is_written_again_counts_at_once) {
  marks.apply_all({1, 4}, {{"dc-a", 3}}, now);
  marks.apply_change("dc-a", {1, 5}, true);
  marks.apply_all({2, 7}, {{"dc-a", 6}}, now);
  CHECK(is_out("dc-a"));
  marks.apply_change("dc-a", {2, 8}, true);
  CHECK_FALSE(is_out("dc-a"));
}

// Of two data centres that were taken out in one transaction, the second one
// went on getting requests.
TEST(out_marks, all_changes_of_one_transaction_count) {
  marks.apply_all({1, 5}, {}, now);
  marks.apply_change("dc-a", {1, 9}, false);
  marks.apply_change("dc-b", {1, 9}, false);
  CHECK(is_out("dc-a"));
  CHECK(is_out("dc-b"));
  marks.apply_change("dc-a", {1, 12}, true);
  marks.apply_change("dc-c", {1, 12}, false);
  CHECK_FALSE(is_out("dc-a"));
  CHECK(is_out("dc-b"));
  CHECK(is_out("dc-c"));
}
