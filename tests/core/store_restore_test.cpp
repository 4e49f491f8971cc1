// Tests a store that comes back from an older copy: what it had acknowledged is
// in force, and changes after the restore are too.
#include "support/routed_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace kingcupslip;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A change must be in force this long after the store acknowledged it.
constexpr duration apply_time = seconds(2);
/// A data centre that is marked out must get no work after this time.
constexpr duration out_apply_time = seconds(5);

/// Routes in which `path_prefix` is open and leads to `svc`.
route_table::content routes_with(const std::string& path_prefix) {
  route_table::content out = simple_routes();
  host_route added = out.routes.back();
  added.name = path_prefix;
  added.path_prefix = path_prefix;
  out.routes.push_back(added);
  return out;
}

struct restorable_fleet {
  explicit restorable_fleet(std::uint64_t seed) : fleet(seed) {
    build_routed_fleet(fleet, 2);
  }

  /// Takes the store away for 2 s and brings the copy back.
  void restore() {
    fleet.store_down = true;
    fleet.run_for(seconds(2));
    fleet.restore_store();
    fleet.store_down = false;
  }

  bool all_serve(const std::string& path) {
    for (const std::string& it : nodes) {
      if (fleet.request_and_wait(it, path, "").status != 200) {
        return false;
      }
    }
    return true;
  }

  bool none_serves(const std::string& path) {
    for (const std::string& it : nodes) {
      if (fleet.request_and_wait(it, path, "").status == 200) {
        return false;
      }
    }
    return true;
  }

  routed_fleet fleet;
  std::vector<std::string> nodes{"a1", "a2", "b1", "b2"};
};

} // namespace

// clang-format off
TEST_GROUP(store_restore){
};
// clang-format on

// Changes after a restore had lower versions than those before it, and were
// taken for old ones.
TEST(store_restore, a_change_after_a_restore_is_in_force) {
  restorable_fleet r(1);
  r.fleet.copy_store();
  r.fleet.write_routes(routes_with("/first/"));
  r.fleet.run_for(milliseconds(500));
  r.fleet.write_routes(routes_with("/second/"));
  r.fleet.run_for(apply_time);
  r.restore();
  r.fleet.run_for(milliseconds(500));
  r.fleet.write_again("routes");
  r.fleet.run_for(seconds(1));
  r.fleet.write_routes(routes_with("/third/"));
  r.fleet.run_for(apply_time);
  CHECK(r.all_serve("/third/x"));
  CHECK(r.none_serves("/second/x"));
}

TEST(store_restore, what_was_acknowledged_before_stays_in_force) {
  restorable_fleet r(2);
  r.fleet.copy_store();
  r.fleet.write_routes(routes_with("/first/"));
  r.fleet.run_for(apply_time);
  r.restore();
  for (int i = 0; i < 10; ++i) {
    CHECK(r.all_serve("/first/x"));
    r.fleet.run_for(milliseconds(300));
  }
  r.fleet.write_again("routes");
  r.fleet.run_for(apply_time);
  CHECK(r.all_serve("/first/x"));
}

// The versions of the new timeline pass the old cursor before a node is back.
TEST(store_restore, a_node_that_was_cut_off_misses_no_change) {
  restorable_fleet r(3);
  r.fleet.copy_store();
  for (int i = 0; i < 5; ++i) {
    r.fleet.write_routes(routes_with("/first/"));
  }
  r.fleet.run_for(apply_time);
  for (const std::string& it : r.nodes) {
    r.fleet.cut_off_nodes.insert(it);
  }
  r.fleet.run_for(seconds(1));
  r.fleet.restore_store();
  r.fleet.write_again("routes");
  r.fleet.write_routes(routes_with("/second/"));
  r.fleet.mark_out("dc-b", true);
  for (int i = 0; i < 5; ++i) {
    r.fleet.mark_out("dc-c", i % 2 == 0);
  }
  r.fleet.run_for(seconds(1));
  r.fleet.cut_off_nodes.clear();
  r.fleet.run_for(apply_time);
  CHECK(r.all_serve("/second/x"));
  CHECK(r.fleet.at("a1").state().data_centre_out_of_service("dc-b"));
}

TEST(store_restore, a_node_that_starts_on_the_old_copy_learns_from_peers) {
  restorable_fleet r(4);
  r.fleet.copy_store();
  r.fleet.write_routes(routes_with("/first/"));
  r.fleet.run_for(apply_time);
  r.restore();
  r.fleet.kill("a1");
  r.fleet.run_for(milliseconds(300));
  r.fleet.restart_node("a1");
  r.fleet.run_for(seconds(3));
  LONGS_EQUAL(200, r.fleet.request_and_wait("a1", "/first/x", "").status);
}

TEST(store_restore, an_out_mark_that_the_copy_lacks_stays_until_written_again) {
  restorable_fleet r(5);
  r.fleet.copy_store();
  r.fleet.mark_out("dc-a", true);
  r.fleet.run_for(seconds(1));
  r.restore();
  const std::uint64_t before = target_runs(r.fleet, {"a1", "a2"});
  routed_load load(r.fleet, r.nodes, "/safe/x", 100, seconds(12));
  r.fleet.run_for(seconds(2));
  r.fleet.write_again("out/dc-a");
  r.fleet.run_for(seconds(11));
  LONGS_EQUAL(before, target_runs(r.fleet, {"a1", "a2"}));
  // It ends as any other.
  r.fleet.mark_out("dc-a", false);
  r.fleet.run_for(out_apply_time);
  CHECK_FALSE(r.fleet.at("b1").state().data_centre_out_of_service("dc-a"));
}

TEST(store_restore, an_out_mark_that_was_removed_does_not_come_back) {
  restorable_fleet r(6);
  r.fleet.mark_out("dc-a", true);
  r.fleet.run_for(seconds(1));
  r.fleet.copy_store();
  r.fleet.mark_out("dc-a", false);
  r.fleet.run_for(seconds(1));
  r.restore();
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(r.fleet.at("a1").state().data_centre_out_of_service("dc-a"));
    r.fleet.run_for(milliseconds(100));
  }
  r.fleet.write_again("out/dc-a");
  r.fleet.run_for(seconds(10));
  CHECK_FALSE(r.fleet.at("a1").state().data_centre_out_of_service("dc-a"));
}

TEST(store_restore, an_out_mark_written_after_the_restore_is_in_force) {
  restorable_fleet r(7);
  r.fleet.mark_out("dc-a", true);
  r.fleet.copy_store();
  r.fleet.mark_out("dc-a", false);
  r.fleet.run_for(seconds(1));
  r.restore();
  r.fleet.run_for(milliseconds(500));
  r.fleet.mark_out("dc-a", false);
  r.fleet.mark_out("dc-a", true);
  r.fleet.run_for(out_apply_time);
  CHECK(r.fleet.at("a1").state().data_centre_out_of_service("dc-a"));
}

TEST(store_restore, a_mark_that_nobody_writes_again_ends) {
  restorable_fleet r(8);
  r.fleet.copy_store();
  r.fleet.mark_out("dc-a", true);
  r.fleet.run_for(seconds(1));
  r.restore();
  r.fleet.run_for(seconds(30));
  CHECK_FALSE(r.fleet.at("a1").state().data_centre_out_of_service("dc-a"));
}

// The row of a member that the copy lacks was never written again, so that a
// node which starts later found nobody.
TEST(store_restore, members_write_their_rows_again) {
  restorable_fleet r(9);
  r.fleet.copy_store();
  r.fleet.add("a3", "dc-a", "svc");
  r.fleet.run_for(seconds(2));
  r.restore();
  r.fleet.run_for(seconds(6));
  std::size_t rows = 0;
  for (const table_row& it : r.fleet.row_store.read({"member/", "", 100})) {
    rows += it.key == "member/dc-a/a3" ? 1 : 0;
  }
  LONGS_EQUAL(1, rows);
}

TEST(store_restore, the_store_is_not_called_in_a_loop) {
  restorable_fleet r(10);
  r.fleet.copy_store();
  for (int i = 0; i < 5; ++i) {
    r.fleet.write_routes(routes_with("/first/"));
  }
  r.fleet.run_for(apply_time);
  r.restore();
  r.fleet.run_for(seconds(1));
  const std::uint64_t before = r.fleet.store_calls;
  r.fleet.run_for(seconds(12));
  // A watch lasts 3 s. Twice as many calls are allowed, and a row each.
  CHECK(r.fleet.store_calls - before <= 4 * (12 / 3 * 2 + 4));
}

// A watch from the version that the store has again waited for its whole time,
// and its answer alone tells of the restore.
TEST(store_restore, a_restore_that_reaches_the_same_version_is_seen_at_once) {
  restorable_fleet r(12);
  r.fleet.copy_store();
  r.fleet.write_routes(routes_with("/first/"));
  r.fleet.run_for(apply_time);
  r.fleet.store_down = true;
  r.fleet.run_for(seconds(2));
  r.fleet.restore_store();
  r.fleet.write_routes(routes_with("/second/"));
  r.fleet.store_down = false;
  r.fleet.run_for(apply_time);
  CHECK(r.all_serve("/second/x"));
}

TEST(store_restore, changes_are_in_force_after_several_restores) {
  restorable_fleet r(11);
  for (int i = 1; i <= 3; ++i) {
    r.fleet.copy_store();
    r.fleet.write_routes(routes_with("/lost" + std::to_string(i) + "/"));
    r.fleet.write_routes(routes_with("/kept" + std::to_string(i) + "/"));
    r.fleet.run_for(apply_time);
    r.restore();
    r.fleet.write_again("routes");
    r.fleet.run_for(apply_time);
    CHECK(r.all_serve("/kept" + std::to_string(i) + "/x"));
  }
}
