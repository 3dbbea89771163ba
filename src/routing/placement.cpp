#include "routing/placement.hpp"

#include "routing/cold_targets.hpp"
#include "routing/ejection.hpp"
#include "routing/expected_wait.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace savoryscale::routing {

namespace {

// The unit of cost is the usual processing time of one request.
// Cost of taking the last slot: a nearly full target slows down for all its requests.
constexpr double last_slot_cost = 2.2;
constexpr double cold_factor = 2.3;  // for a target that has just started and is little known
constexpr double remote_cost = 0.05; // of a target in another data centre
// Cost of a target that names a limit: one without is preferred, unless its last slot is left.
constexpr double limited_cost = 0.5;
constexpr double failure_cost = 4;         // of a target that always fails while others never do
constexpr double usual_slowdown = 1.25;    // up to this factor a target counts as not slowed
constexpr std::size_t sample_factor = 3;   // targets sampled for each one that is probed
constexpr double probes_fraction = 0.78;   // of the bound; the rest covers estimation errors
constexpr double in_flight_min = 0.2;      // below it a service is idle; searches may go on
constexpr double search_probes_min = 3;    // probes that each search earns at least
constexpr double search_probes_max = 60;   // probes that one search earns at most
constexpr double latency_ratio_max = 2;    // acceptable while probes are scarce
constexpr double extra_attempts_min = 1.2; // just enough for one
constexpr double slack_fraction = 0.6;     // the rest covers hosts raised to extra_attempts_min
constexpr double mean_weight = 0.02;       // of one sample in a moving average
constexpr double default_work_ns = 1e8;    // before the first answer

double work_ns(const service_view& view)
{
    return view.mean_latency_ns_ > 0 ? view.mean_latency_ns_ : default_work_ns;
}

double slots_of(const service_view& view, const target_state& target, const load_report& load)
{
    const double reported = load.slots_ > 0 ? load.slots_ : target.info_.slots_;
    return std::max(1.0, reported > 0 ? reported : view.slots_per_target_);
}

// Requests at the target: the reported ones, or this host's own if more (some may be on their way).
double requests_at(const target_state& target, const probed_target& probed)
{
    const double reported = probed.load_ ? probed.load_->requests_in_flight_ : 0;
    return std::max(reported, static_cast<double>(target.in_flight_));
}

struct cost {
    double wait_ = 0; // before processing begins
    double work_ = 1;
    double extra_ = 0; // ranks targets without being part of the expected latency

    [[nodiscard]] double total() const { return wait_ + work_ + extra_; }
};

cost cost_of(const service_view& view, const probed_target& probed, time_point now)
{
    const target_state& target = view.targets_[probed.target_];
    const load_report load = probed.load_.value_or(load_report{});
    const double slots = slots_of(view, target, load);
    const double ahead = requests_at(target, probed);
    double speed = std::max(load.slowdown_, 0.1);
    if (is_cold(target, now)) {
        speed *= cold_factor;
    }
    cost sum;
    sum.work_ = speed * (ahead + 1 >= slots ? last_slot_cost : 1);
    if (ahead >= slots) {
        sum.wait_ = (ahead - slots + 1) / slots * speed * last_slot_cost;
    }
    sum.extra_ = failure_cost * failure_ratio_above_mean(view, target, now);
    if (target.info_.data_centre_ != view.data_centre_) {
        sum.extra_ += remote_cost;
    }
    if (target.limit_) {
        sum.extra_ += limited_cost;
    }
    return sum;
}

placed_attempt attempt_at(const service_view& view, target_index target, const cost& own)
{
    const double latency_ratio = own.wait_ + own.work_;
    const double expected = static_cast<double>(usual_work(view).count()) * latency_ratio;
    return {target, latency_ratio, duration{static_cast<std::int64_t>(expected)}};
}

// Whether the target can take no request: its slots are in use, or its data centre is to be emptied
// since it was probed.
bool is_full(const service_view& view, const probed_target& probed,
             const placement_options& options)
{
    const target_state& target = view.targets_[probed.target_];
    if (target.emptied_) {
        return true;
    }
    const double slots = slots_of(view, target, probed.load_.value_or(load_report{}));
    const bool may_wait = options.may_wait_ && slots <= options.few_slots_;
    const double queue = may_wait ? options.queue_max_ : 0;
    return requests_at(target, probed) >= slots * (1 + queue);
}

// From a random sample, the targets with the fewest expected requests in flight.
std::vector<target_index> least_loaded_of_sample(const service_view& view,
                                                 std::vector<target_index> from, std::size_t count,
                                                 time_point now, random_source& random)
{
    const std::size_t sampled = std::min(from.size(), count * sample_factor);
    for (std::size_t i = 0; i < sampled; ++i) {
        std::swap(from[i], from[i + uniform_below(random, from.size() - i)]);
    }
    from.resize(sampled);
    const auto expected = [&](target_index index) {
        const target_state& target = view.targets_[index];
        return expected_in_flight(view, target, now) +
               (is_limited(view, target, now) ? limited_cost : 0);
    };
    std::stable_sort(from.begin(), from.end(), [&](target_index one, target_index other) {
        return expected(one) < expected(other);
    });
    from.resize(std::min(from.size(), count));
    return from;
}

bool has_unlimited_target(const service_view& view, time_point now)
{
    return std::any_of(view.targets_.begin(), view.targets_.end(), [&](const target_state& target) {
        return is_in_use(target) && !is_limited(view, target, now);
    });
}

} // namespace

std::vector<target_index> probe_candidates(service_view& view,
                                           std::span<const target_index> exclude, std::size_t count,
                                           bool local_first, time_point now, random_source& random)
{
    std::vector<target_index> sample = eligible_targets(view, exclude);
    drop_ejected(view, sample, now);
    std::vector<target_index> chosen;
    if (local_first) {
        auto local = sample;
        std::erase_if(local, [&](target_index index) {
            return view.targets_[index].info_.data_centre_ != view.data_centre_;
        });
        chosen = least_loaded_of_sample(view, std::move(local), count / 2, now, random);
        std::erase_if(sample, [&](target_index index) {
            return std::find(chosen.begin(), chosen.end(), index) != chosen.end();
        });
    }
    const auto rest =
        least_loaded_of_sample(view, std::move(sample), count - chosen.size(), now, random);
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    return chosen;
}

void on_search_started(placement_budget& budget, double mean_latency_s)
{
    const double in_flight = std::max(budget.mean_in_flight_, in_flight_min);
    const double each = budget.probes_per_target_ * probes_fraction * mean_latency_s / in_flight;
    const double earned =
        std::clamp(each * budget.success_ratio_, search_probes_min, search_probes_max);
    budget.probes_ = std::min(budget.probes_ + earned, budget.probes_max_);
}

std::size_t take_probes(placement_budget& budget, std::size_t wanted)
{
    const auto taken = std::min(wanted, static_cast<std::size_t>(std::max(budget.probes_, 0.0)));
    budget.probes_ -= static_cast<double>(taken);
    return taken;
}

double extra_attempts_max(const placement_budget& budget, double slack, std::size_t targets)
{
    const double all = budget.mean_in_flight_ * static_cast<double>(targets);
    const double own_fraction = all > 0 ? std::min(1.0, budget.mean_own_in_flight_ / all) : 0;
    return std::max(extra_attempts_min, slack * slack_fraction * own_fraction);
}

void on_search_ended(placement_budget& budget, std::span<const probed_target> probed,
                     double own_in_flight, bool placed)
{
    budget.mean_own_in_flight_ += mean_weight * (own_in_flight - budget.mean_own_in_flight_);
    for (const probed_target& one : probed) {
        if (one.load_) {
            budget.mean_in_flight_ +=
                mean_weight * (one.load_->requests_in_flight_ - budget.mean_in_flight_);
        }
    }
    budget.success_ratio_ += mean_weight * ((placed ? 1 : 0) - budget.success_ratio_);
}

bool has_free_target(const service_view& view, std::span<const probed_target> probed,
                     time_point now)
{
    return std::any_of(probed.begin(), probed.end(), [&](const probed_target& one) {
        const target_state& target = view.targets_[one.target_];
        const bool limited = is_limited(view, target, now);
        if (target.emptied_ || (limited && has_unlimited_target(view, now))) {
            return false;
        }
        const load_report load = one.load_.value_or(load_report{});
        return requests_at(target, one) + 1 < slots_of(view, target, load) + 0.5 &&
               requests_at(target, one) < 1 && load.slowdown_ <= usual_slowdown &&
               (limited || !is_cold(target, now)) && is_available(target, now) &&
               failure_ratio_above_mean(view, target, now) < 0.1;
    });
}

std::size_t count_in_time(const service_view& view, std::span<const probed_target> probed,
                          duration within, time_point now)
{
    placement_options free;
    free.may_wait_ = false;
    return static_cast<std::size_t>(
        std::count_if(probed.begin(), probed.end(), [&](const probed_target& one) {
            return !is_full(view, one, free) &&
                   attempt_at(view, one.target_, cost_of(view, one, now)).expected_ <= within;
        }));
}

duration usual_work(const service_view& view)
{
    return duration{static_cast<std::int64_t>(view.mean_latency_ns_)};
}

std::optional<placed_attempt> place(const service_view& view, std::span<const probed_target> probed,
                                    const placement_options& options, time_point now,
                                    random_source& random)
{
    std::optional<placed_attempt> best;
    double best_cost = 0;
    std::uint64_t equals = 1;
    for (const probed_target& one : probed) {
        if (is_full(view, one, options)) {
            continue;
        }
        const cost own = cost_of(view, one, now);
        const placed_attempt attempt = attempt_at(view, one.target_, own);
        if (options.expected_max_ && attempt.expected_ > *options.expected_max_) {
            continue;
        }
        const double total = own.total();
        const bool replaces = !best || total < best_cost ||
                              (total == best_cost && uniform_below(random, ++equals) == 0);
        if (!replaces) {
            continue;
        }
        if (!best || total < best_cost) {
            equals = 1;
        }
        best_cost = total;
        best = attempt;
    }
    return best;
}

std::vector<placed_attempt> place_limited(const service_view& view,
                                          std::span<const probed_target> probed,
                                          const placement_options& options, std::size_t count,
                                          time_point now)
{
    std::vector<std::pair<double, placed_attempt>> ranked;
    double unlimited_cost = std::numeric_limits<double>::infinity();
    for (const probed_target& one : probed) {
        if (is_full(view, one, options)) {
            continue;
        }
        const cost own = cost_of(view, one, now);
        if (is_limited(view, view.targets_[one.target_], now)) {
            ranked.emplace_back(own.total(), attempt_at(view, one.target_, own));
        }
        else {
            unlimited_cost = std::min(unlimited_cost, own.total());
        }
    }
    std::erase_if(ranked, [&](const auto& each) { return each.first > unlimited_cost; });
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& one, const auto& other) { return one.first < other.first; });
    std::vector<placed_attempt> placed;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        placed.push_back(ranked[i].second);
    }
    return placed;
}

std::vector<placed_attempt> place_limited_unprobed(const service_view& view,
                                                   std::span<const target_index> exclude,
                                                   std::size_t count, time_point now,
                                                   random_source& random)
{
    std::vector<target_index> from = eligible_targets(view, exclude);
    std::erase_if(from, [&](target_index index) {
        const target_state& target = view.targets_[index];
        return !is_limited(view, target, now) || !is_available(target, now) ||
               expected_in_flight(view, target, now) >= slots_of(view, target, {});
    });
    std::vector<placed_attempt> placed;
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
        std::swap(from[i], from[i + uniform_below(random, from.size() - i)]);
        placed.push_back({from[i], 1, duration{static_cast<std::int64_t>(view.mean_latency_ns_)}});
    }
    return placed;
}

std::optional<placed_attempt> place_unprobed(service_view& view,
                                             std::span<const target_index> exclude, time_point now,
                                             random_source& random)
{
    const auto index = choose(view, exclude, now, random);
    if (!index) {
        return std::nullopt;
    }
    const target_state& target = view.targets_[*index];
    if (!is_available(target, now) ||
        expected_in_flight(view, target, now) >= slots_of(view, target, {})) {
        return std::nullopt;
    }
    return placed_attempt{*index, 1, duration{static_cast<std::int64_t>(view.mean_latency_ns_)}};
}

bool is_acceptable_when_scarce(const placement_budget& budget,
                               const std::optional<placed_attempt>& placed,
                               std::optional<duration> objective_left)
{
    return budget.probes_ < budget.scarce_below_ && placed &&
           placed->latency_ratio_ <= latency_ratio_max &&
           (!objective_left || placed->expected_ <= *objective_left);
}

duration time_to_free_slot(const service_view& view, std::span<const probed_target> probed)
{
    double soonest = 1;
    for (const probed_target& one : probed) {
        const target_state& target = view.targets_[one.target_];
        const load_report load = one.load_.value_or(load_report{});
        const double slots = slots_of(view, target, load);
        const double over = std::max(0.0, requests_at(target, one) - slots);
        soonest = std::min(soonest, (over + 1) / slots * std::max(load.slowdown_, 0.1));
    }
    return duration{static_cast<std::int64_t>(soonest * work_ns(view))};
}

} // namespace savoryscale::routing
