#include "routing/service_view.hpp"

#include "routing/cold_targets.hpp"
#include "routing/ejection.hpp"
#include "routing/selection.hpp"
#include "routing/subset.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savoryscale::routing {

namespace {

// Calls per slot above which a hedge would only lengthen the queues.
constexpr double hedge_in_use_max = 1.5;
constexpr double shed_calls_per_slot = 2;
constexpr double hedge_quantile = 0.9;
constexpr double hedge_wait_min = 1.3; // minimum time for the first attempt, in mean latencies
constexpr double latency_weight = 0.2;
constexpr double mean_weight = 0.01; // of one sample in a moving average over all targets
constexpr double first_deviation_fraction = 0.5; // of the first latency; nothing else is known
constexpr double latency_deviations = 4;         // mean deviations that a latency rarely exceeds

bool is_eligible(const target_state& target, std::span<const target_index> exclude,
                 target_index index)
{
    if (!is_in_use(target) || target.drain_reported_at_) {
        return false;
    }
    return std::find(exclude.begin(), exclude.end(), index) == exclude.end();
}

// The listed targets that this host uses when it does not know the other hosts: those that rank
// first for it, half of them in its data centre. Each host has its own ranking, so that all targets
// are used equally.
std::vector<target_index> own_subset(const service_view& view)
{
    std::vector<std::pair<std::uint64_t, target_index>> local;
    std::vector<std::pair<std::uint64_t, target_index>> all;
    for (target_index index = 0; index < view.targets_.size(); ++index) {
        const target_state& target = view.targets_[index];
        if (is_in_use(target)) {
            const std::uint64_t rank = target_rank(view.own_id_, to_string(target.info_.address_));
            all.emplace_back(rank, index);
            if (target.info_.data_centre_ == view.data_centre_) {
                local.emplace_back(rank, index);
            }
        }
    }
    std::sort(local.begin(), local.end());
    std::sort(all.begin(), all.end());
    std::vector<target_index> used;
    for (const auto& [rank, index] : local) {
        if (used.size() < view.subset_max_ / 2) {
            used.push_back(index);
        }
    }
    for (const auto& [rank, index] : all) {
        if (used.size() < view.subset_max_ &&
            std::find(used.begin(), used.end(), index) == used.end()) {
            used.push_back(index);
        }
    }
    std::sort(used.begin(), used.end());
    return used;
}

void update_subset(service_view& view)
{
    const auto listed = static_cast<std::size_t>(
        std::count_if(view.targets_.begin(), view.targets_.end(),
                      [](const auto& one) { return one.listed_ && !one.emptied_; }));
    const std::size_t count = hosts_for_each_target(view.hosts_.size(), listed);
    view.subset_.clear();
    if (view.subset_max_ > 0 && listed > view.subset_max_) {
        view.subset_ = own_subset(view);
        return;
    }
    for (target_index index = 0; index < view.targets_.size(); ++index) {
        const target_state& target = view.targets_[index];
        const std::string key = to_string(target.info_.address_);
        if (target.listed_ && uses_target(view.own_id_, view.hosts_, key, count)) {
            view.subset_.push_back(index);
        }
    }
}

// Where the service names a rate for cold targets, one is cold from its start.
void begin_warm_up(const service_view& view, target_state& target, time_point now)
{
    const bool limited = view.cold_per_second_ > 0 && view.has_target_list_;
    target.warm_at_ =
        now + std::max(target.info_.warm_up_, limited ? view.warm_up_ : duration::zero());
    target.warm_up_heard_at_ = now;
}

// A target whose data centre is taken back counts as cold until it says otherwise.
void mark_emptied(service_view& view, time_point now)
{
    for (target_state& target : view.targets_) {
        const bool emptied = std::binary_search(view.emptied_.begin(), view.emptied_.end(),
                                                target.info_.data_centre_);
        if (std::exchange(target.emptied_, emptied) && !emptied) {
            begin_warm_up(view, target, now);
        }
    }
}

target_index index_of(service_view& view, const target_info& info, time_point now)
{
    std::string key = to_string(info.address_);
    const auto next = static_cast<target_index>(view.targets_.size());
    const auto [place, added] = view.by_address_.try_emplace(std::move(key), next);
    if (added) {
        target_state fresh;
        fresh.info_ = info;
        if (view.has_target_list_) {
            fresh.cold_since_ = now;
        }
        begin_warm_up(view, fresh, now);
        view.targets_.push_back(std::move(fresh));
    }
    return place->second;
}

// Resets the state for a new server at a known address, except the attempts still in flight.
void restart(const service_view& view, target_state& target, const target_info& info,
             time_point now)
{
    target_state fresh;
    fresh.info_ = info;
    fresh.in_flight_ = target.in_flight_;
    fresh.started_ = std::move(target.started_);
    fresh.cold_since_ = now;
    fresh.emptied_ = target.emptied_;
    begin_warm_up(view, fresh, now);
    target = std::move(fresh);
}

void record_latency(service_view& view, target_state& target, duration latency, time_point now)
{
    add(view.latencies_, latency);
    const auto ns = static_cast<double>(latency.count());
    // A plain mean until there are enough samples for a moving average.
    const double weight = std::max(mean_weight, 1.0 / ++view.latency_count_);
    const double off = view.latency_count_ > 1 ? std::abs(ns - view.mean_latency_ns_)
                                               : ns * first_deviation_fraction;
    view.latency_deviation_ns_ += weight * (off - view.latency_deviation_ns_);
    view.mean_latency_ns_ += weight * (ns - view.mean_latency_ns_);
    target.latency_ns_ += latency_weight * (ns - target.latency_ns_);
    target.latency_at_ = now;
}

// Removes the start time nearest to `started`; the caller's clock and ours may differ slightly.
void remove_start(target_state& target, time_point started)
{
    const auto distance = [started](time_point one) {
        return one < started ? started - one : one - started;
    };
    const auto nearest = std::min_element(
        target.started_.begin(), target.started_.end(),
        [&](time_point one, time_point other) { return distance(one) < distance(other); });
    target.started_.erase(nearest);
}

// A target that answers with errors is idle because of them, so its load report is not trusted.
void record_load(service_view& view, target_index index, const load_report& load, bool is_trusted,
                 time_point now)
{
    target_state& target = view.targets_[index];
    if (load.draining_) {
        target.drain_reported_at_ = now;
    }
    if (!is_trusted) {
        return;
    }
    const double busy_slots = std::min(load.utilization_, 1.0) * view.slots_per_target_;
    const double in_flight = std::max(load.requests_in_flight_, busy_slots);
    const double others = std::max(0.0, in_flight - target.in_flight_);
    view.mean_others_in_flight_ += mean_weight * (others - view.mean_others_in_flight_);
    target.load_ = received_load{in_flight, others, now};
    add(view.reports_, {index, in_flight, now, 0});
}

// The load report of a shedding target, raised to as many requests waiting as running.
load_report load_when_shedding(const service_view& view, const target_state& target,
                               std::optional<load_report> reported)
{
    load_report load = reported.value_or(load_report{});
    const double full = shed_calls_per_slot * view.slots_per_target_ + target.in_flight_;
    load.requests_in_flight_ = std::max(load.requests_in_flight_, full);
    return load;
}

} // namespace

std::vector<target_index> eligible_targets(const service_view& view,
                                           std::span<const target_index> exclude)
{
    std::vector<target_index> eligible;
    for (const target_index index : view.subset_) {
        if (is_eligible(view.targets_[index], exclude, index)) {
            eligible.push_back(index);
        }
    }
    if (!eligible.empty()) {
        return eligible;
    }
    for (target_index index = 0; index < view.targets_.size(); ++index) {
        if (is_eligible(view.targets_[index], exclude, index)) {
            eligible.push_back(index);
        }
    }
    return eligible;
}

service_view make_view(const settings::service& service, std::string_view own_data_centre,
                       policy chosen)
{
    service_view view;
    view.data_centre_ = own_data_centre;
    view.policy_ = chosen;
    view.slots_per_target_ = service.slots_per_target_;
    view.cold_start_ = service.cold_start_;
    view.hedge_ = service.hedge_;
    view.retries_.ratio_ = service.retry_ratio_;
    return view;
}

void update_targets(service_view& view, std::span<const target_info> targets, time_point now)
{
    for (auto& target : view.targets_) {
        target.listed_ = false;
    }
    for (const auto& info : targets) {
        target_state& target = view.targets_[index_of(view, info, now)];
        if (info.incarnation_ > target.info_.incarnation_) {
            restart(view, target, info, now);
        }
        else if (info.incarnation_ == target.info_.incarnation_) {
            const bool turned_cold = info.warm_up_ > target.info_.warm_up_;
            target.info_ = info;
            if (turned_cold) {
                on_warm_up_heard(target, info.warm_up_, now);
            }
        }
        target.listed_ = true;
    }
    view.has_target_list_ = true;
    mark_emptied(view, now);
    update_subset(view);
}

void set_emptied(service_view& view, std::span<const std::string> data_centres, time_point now)
{
    view.emptied_.assign(data_centres.begin(), data_centres.end());
    mark_emptied(view, now);
    update_subset(view);
}

void set_hosts(service_view& view, std::string_view own_id, std::span<const std::string> hosts)
{
    view.own_id_ = own_id;
    view.hosts_.assign(hosts.begin(), hosts.end());
    update_subset(view);
}

std::optional<target_index> choose(service_view& view, std::span<const target_index> exclude,
                                   time_point now, random_source& random)
{
    auto eligible = eligible_targets(view, exclude);
    if (eligible.empty()) {
        return std::nullopt;
    }
    if (view.policy_ == policy::least_wait || view.policy_ == policy::probed) {
        drop_ejected(view, eligible, now);
    }
    return select(view, eligible, now, random);
}

const settings::endpoint& address_of(const service_view& view, target_index target)
{
    return view.targets_.at(target).info_.address_;
}

void on_attempt_started(service_view& view, target_index index, time_point now)
{
    target_state& target = view.targets_.at(index);
    ++target.in_flight_;
    target.started_.push_back(now);
    accrue_extra(view.retries_);
}

void on_attempt_ended(service_view& view, const attempt_report& report, time_point now)
{
    target_state& target = view.targets_.at(report.target_);
    const time_point began = now - report.latency_;
    if (target.in_flight_ > 0) {
        --target.in_flight_;
        remove_start(target, began);
    }
    const bool of_earlier_incarnation = target.cold_since_ && began < *target.cold_since_;
    if (of_earlier_incarnation) {
        return;
    }
    count_outcome(view, target, report.end_, now);
    if (report.end_ == attempt_end::answered) {
        record_latency(view, target, report.latency_, now);
    }
    if (report.end_ == attempt_end::shed) {
        record_load(view, report.target_, load_when_shedding(view, target, report.load_), true,
                    now);
    }
    else if (report.load_) {
        record_load(view, report.target_, *report.load_, report.end_ == attempt_end::answered, now);
    }
}

void set_probe_share(service_view& view, double probes_per_second)
{
    set_share(view.probes_, probes_per_second);
}

std::optional<target_index> next_probe(service_view& view, time_point now, random_source& random)
{
    const auto eligible = eligible_targets(view, {});
    if (eligible.empty() || !take_probe(view.probes_, now)) {
        return std::nullopt;
    }
    const target_index chosen = eligible[uniform_below(random, eligible.size())];
    view.targets_[chosen].probed_at_ = now;
    return chosen;
}

void on_probe_ended(service_view& view, target_index index, std::optional<load_report> load,
                    time_point now)
{
    if (load) {
        record_load(view, index, *load, is_available(view.targets_.at(index), now), now);
    }
}

void on_probe_failed(service_view& view, target_index index, time_point now)
{
    eject_unresponsive(view.targets_.at(index), now);
}

std::optional<duration> hedge_delay(const service_view& view, time_point /*now*/)
{
    const bool is_short_of_capacity = calls_per_slot(view) > hedge_in_use_max;
    if (!view.hedge_ || is_short_of_capacity ||
        !has_extra(view.retries_, view.retries_.hedge_reserve_)) {
        return std::nullopt;
    }
    return quantile(view.latencies_, hedge_quantile);
}

duration latency_bound(const service_view& view, duration expected, duration unknown)
{
    if (view.latency_count_ < 1) {
        return std::max(expected, unknown);
    }
    const auto mean = duration{static_cast<std::int64_t>(view.mean_latency_ns_)};
    const auto spread =
        duration{static_cast<std::int64_t>(latency_deviations * view.latency_deviation_ns_)};
    return (expected > duration::zero() ? expected : mean) + spread;
}

std::optional<duration> hedge_delay_for_objective(const service_view& view, duration objective)
{
    if (!view.hedge_ || !has_extra(view.retries_, view.retries_.hedge_reserve_)) {
        return std::nullopt;
    }
    const double least = view.mean_latency_ns_ * hedge_wait_min;
    return std::max(objective, duration{static_cast<std::int64_t>(least)});
}

bool has_eligible_target(const service_view& view)
{
    return !eligible_targets(view, {}).empty();
}

double own_in_flight(const service_view& view)
{
    double own = 0;
    for (const auto& target : view.targets_) {
        own += target.in_flight_;
    }
    return own;
}

double calls_per_slot(const service_view& view)
{
    const double own = own_in_flight(view);
    const auto targets = static_cast<double>(
        std::count_if(view.targets_.begin(), view.targets_.end(),
                      [](const auto& one) { return one.listed_ && !one.emptied_; }));
    if (targets == 0 || view.slots_per_target_ == 0) {
        return 0;
    }
    return (own / targets + view.mean_others_in_flight_) / view.slots_per_target_;
}

bool take_retry(service_view& view, time_point /*now*/)
{
    return take_extra(view.retries_, 0);
}

bool take_hedge(service_view& view, time_point /*now*/)
{
    return take_extra(view.retries_, view.retries_.hedge_reserve_);
}

} // namespace savoryscale::routing
