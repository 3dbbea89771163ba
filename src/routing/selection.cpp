#include "routing/selection.hpp"

#include "routing/expected_wait.hpp"
#include "routing/service_view.hpp"

#include <algorithm>

namespace savoryscale::routing {

namespace {

target_index pick_random(std::span<const target_index> eligible, random_source& random)
{
    return eligible[uniform_below(random, eligible.size())];
}

target_index pick_round_robin(service_view& view, std::span<const target_index> eligible)
{
    return eligible[view.round_robin_next_++ % eligible.size()];
}

// The target with the lowest score; ties are broken uniformly at random.
template<class Score>
target_index pick_lowest(std::span<const target_index> eligible, random_source& random, Score score)
{
    target_index best = eligible.front();
    double best_score = score(best);
    std::uint64_t equals = 1;
    for (const target_index index : eligible.subspan(1)) {
        const double own = score(index);
        if (own < best_score) {
            best = index;
            best_score = own;
            equals = 1;
        }
        else if (own == best_score && uniform_below(random, ++equals) == 0) {
            best = index;
        }
    }
    return best;
}

target_index pick_least_requests(const service_view& view, std::span<const target_index> eligible,
                                 random_source& random)
{
    return pick_lowest(eligible, random,
                       [&](target_index index) { return view.targets_[index].in_flight_; });
}

target_index pick_power_of_two(const service_view& view, std::span<const target_index> eligible,
                               random_source& random)
{
    const std::uint64_t first = uniform_below(random, eligible.size());
    if (eligible.size() == 1) {
        return eligible[first];
    }
    const std::uint64_t step = 1 + uniform_below(random, eligible.size() - 1);
    const target_index one = eligible[first];
    const target_index other = eligible[(first + step) % eligible.size()];
    return view.targets_[other].in_flight_ < view.targets_[one].in_flight_ ? other : one;
}

// Prequal: the cold target with the lowest latency, else the one with the fewest requests in
// flight.
target_index pick_hot_cold(service_view& view, std::span<const target_index> eligible,
                           time_point now, random_source& random)
{
    evict_stale(view.reports_, now);
    const double limit = hot_limit(view.reports_);
    pooled_report* best = nullptr;
    std::size_t usable = 0;
    const auto is_better = [&](const pooled_report& one, const pooled_report& than) {
        const bool one_hot = one.requests_in_flight_ > limit;
        const bool than_hot = than.requests_in_flight_ > limit;
        if (one_hot != than_hot) {
            return than_hot;
        }
        if (one_hot) {
            return one.requests_in_flight_ < than.requests_in_flight_;
        }
        return view.targets_[one.target_].latency_ns_ < view.targets_[than.target_].latency_ns_;
    };
    for (auto& report : view.reports_.reports_) {
        if (!std::binary_search(eligible.begin(), eligible.end(), report.target_)) {
            continue;
        }
        ++usable;
        if (best == nullptr || is_better(report, *best)) {
            best = &report;
        }
    }
    if (usable < 2) {
        return pick_random(eligible, random);
    }
    ++best->uses_;
    best->requests_in_flight_ += 1;
    return best->target_;
}

target_index pick_least_wait(const service_view& view, std::span<const target_index> eligible,
                             time_point now, random_source& random)
{
    return pick_lowest(eligible, random, [&](target_index index) {
        return expected_wait(view, view.targets_[index], now);
    });
}

} // namespace

target_index select(service_view& view, std::span<const target_index> eligible, time_point now,
                    random_source& random)
{
    switch (view.policy_) {
    case policy::random:
        return pick_random(eligible, random);
    case policy::round_robin:
        return pick_round_robin(view, eligible);
    case policy::least_requests:
        return pick_least_requests(view, eligible, random);
    case policy::power_of_two:
        return pick_power_of_two(view, eligible, random);
    case policy::least_wait:
    case policy::probed: // choose() itself sends no probes
        return pick_least_wait(view, eligible, now, random);
    case policy::hot_cold:
        return pick_hot_cold(view, eligible, now, random);
    }
    return pick_random(eligible, random);
}

} // namespace savoryscale::routing
