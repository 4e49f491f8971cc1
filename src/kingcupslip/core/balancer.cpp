// Power of two choices with a preference for the local data centre.
#include "kingcupslip/core/balancer.hpp"

#include <algorithm>
#include <iterator>

namespace kingcupslip {

namespace {

/// From this load on, a local target is compared with one in another data
/// centre.
constexpr double overflow_load_threshold = 1.5;
constexpr std::uint32_t max_counted_failures = 6;

using candidate_list = std::vector<const target_candidate*>;

double known_in_flight(const target_candidate& t) {
  // The report may or may not include the requests from this node, so the
  // larger number is used. Their sum could count this node's own traffic
  // twice.
  return static_cast<double>(std::max(t.own_in_flight, t.reported_in_flight));
}

/// The targets that are not full; all of them if all are. Failures do not
/// count: a small target would be left out for as long as they are remembered.
candidate_list with_room(const candidate_list& from) {
  candidate_list out;
  std::copy_if(from.begin(), from.end(), std::back_inserter(out),
               [](const target_candidate* t) {
                 return known_in_flight(*t) < std::max(1.0, t->limit);
               });
  return out.empty() ? from : out;
}

const target_candidate*
pick_better_of_two(const candidate_list& all,
                   const std::function<std::uint64_t()>& random) {
  // Two random targets may both be full while a third has room.
  const candidate_list from = with_room(all);
  if (from.empty()) {
    return nullptr;
  }
  const target_candidate* a = from[random() % from.size()];
  const target_candidate* b = from[random() % from.size()];
  return relative_load(*a) <= relative_load(*b) ? a : b;
}

} // namespace

double relative_load(const target_candidate& t) {
  const double load = (known_in_flight(t) + 1) / std::max(1.0, t.limit);
  const std::uint32_t n = std::min(t.failures, max_counted_failures);
  return load * static_cast<double>(1U << n);
}

const target_candidate*
choose_in_data_centre(const std::vector<target_candidate>& targets,
                      const std::string& data_centre,
                      const std::function<std::uint64_t()>& random) {
  candidate_list there;
  for (const target_candidate& it : targets) {
    if (it.data_centre != nullptr && *it.data_centre == data_centre) {
      there.push_back(&it);
    }
  }
  const target_candidate* chosen = pick_better_of_two(there, random);
  return chosen != nullptr && relative_load(*chosen) <= 1 ? chosen : nullptr;
}

const target_candidate*
choose_target(const std::vector<target_candidate>& targets, bool allow_overflow,
              const std::function<std::uint64_t()>& random) {
  candidate_list local_candidates;
  candidate_list remote_candidates;
  for (const target_candidate& it : targets) {
    (it.same_data_centre ? local_candidates : remote_candidates).push_back(&it);
  }
  const target_candidate* local = pick_better_of_two(local_candidates, random);
  if (local != nullptr && (!allow_overflow || remote_candidates.empty() ||
                           relative_load(*local) < overflow_load_threshold)) {
    return local;
  }
  const target_candidate* remote =
      pick_better_of_two(remote_candidates, random);
  if (local == nullptr || remote == nullptr) {
    return local == nullptr ? remote : local;
  }
  return relative_load(*remote) < relative_load(*local) ? remote : local;
}

} // namespace kingcupslip
