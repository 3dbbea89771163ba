#pragma once

// One host's view of the targets of one service, and the decisions made from it: which target gets
// the next attempt, which is probed, and when a second attempt may start.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "routing/latency_histogram.hpp"
#include "routing/policy.hpp"
#include "routing/probe_budget.hpp"
#include "routing/report_pool.hpp"
#include "routing/retry_budget.hpp"
#include "routing/target.hpp"
#include "routing/target_state.hpp"
#include "settings/settings.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::routing {

// Created by make_view. An address keeps its index for the life of the process, so memory grows
// with the number of distinct addresses ever listed, not with restarts.
struct service_view {
    std::string data_centre_;
    policy policy_ = policy::least_wait;
    std::uint32_t slots_per_target_ = 2;
    duration cold_start_{};
    duration warm_up_{};         // how long a target is cold after its start
    double cold_per_second_ = 0; // granted to a cold target, to all hosts together; 0: any number
    bool hedge_ = true;
    bool has_target_list_ = false;
    std::vector<target_state> targets_;
    std::vector<std::string> emptied_; // data centres whose targets get no new attempt, sorted
    std::vector<target_index> subset_; // listed targets in this host's subset, ascending
    std::string own_id_;               // id of this host; empty: no subsets
    std::size_t subset_max_ = 0; // subset size of a host that does not know hosts_; 0: all targets
    std::vector<std::string> hosts_;                              // ids of all entry hosts
    std::map<std::string, target_index, std::less<>> by_address_; // "ip:port"
    std::size_t round_robin_next_ = 0;                            // for round_robin
    report_pool reports_;                                         // for hot_cold
    double mean_others_in_flight_ = 0; // of other hosts, per target; moving average
    double mean_latency_ns_ = 0;       // moving average of answered attempts, all targets
    double latency_deviation_ns_ = 0;  // from the mean, as a moving average
    double latency_count_ = 0;
    double mean_failure_ratio_ = 0; // moving average of attempts, all targets
    latency_histogram latencies_;
    probe_budget probes_;
    retry_budget retries_;
};

// A view without targets. Probing starts off; see set_probe_share.
service_view make_view(const settings::service&, std::string_view own_data_centre, policy);

// Replaces the list of the service's targets; targets missing from it get no new attempt. A higher
// incarnation at a known address is a new server: it gets a slow start and no failure history.
void update_targets(service_view&, std::span<const target_info>, time_point now);

// Sets the data centres to be emptied, sorted: their targets get no new attempt and no probe, but
// keep their state. Those that are taken back may have become cold meanwhile.
void set_emptied(service_view&, std::span<const std::string> data_centres, time_point now);

// Sets the ids of all known entry hosts. Large services are then divided among them; see
// subset.hpp. Until it is called a host uses all targets.
void set_hosts(service_view&, std::string_view own_id, std::span<const std::string> hosts);

// The target for the next attempt; none when no target is eligible. Targets that are leaving,
// draining or in `exclude` are not eligible.
std::optional<target_index> choose(service_view&, std::span<const target_index> exclude,
                                   time_point now, random_source&);

// The targets that may get an attempt, ascending: from this host's subset, or from all targets when
// none in the subset is eligible.
std::vector<target_index> eligible_targets(const service_view&,
                                           std::span<const target_index> exclude);

// Whether any target may get an attempt.
bool has_eligible_target(const service_view&);

// This host's attempts in flight, over all targets.
double own_in_flight(const service_view&);

// The address to connect to. The reference is valid until update_targets.
const settings::endpoint& address_of(const service_view&, target_index);

// Call when an attempt is handed to a connection, and exactly once when it has ended in any way.
void on_attempt_started(service_view&, target_index, time_point now);
void on_attempt_ended(service_view&, const attempt_report&, time_point now);

// This host's share of the service's probes, per second; see probe_budget.
void set_probe_share(service_view&, double probes_per_second);

// The target to probe now; none when the share is used up. Each target returned counts as one
// probe.
std::optional<target_index> next_probe(service_view&, time_point now, random_source&);

// A probe ended; no load report when it failed or timed out.
void on_probe_ended(service_view&, target_index, std::optional<load_report>, time_point now);

// A target did not answer a probe, or reported that it accepts no requests: it is ejected briefly.
void on_probe_failed(service_view&, target_index, time_point now);

// How long a repeatable request waits before its hedge starts. None when hedging is off, too few
// latencies are known, the service is short of capacity, or the budget is spent. Call take_hedge
// when the hedge starts.
std::optional<duration> hedge_delay(const service_view&, time_point now);

// The same for a request with a latency objective, whose hedge needs a free target found by a
// search: once the objective is missed, a lost answer is more likely than a slow one.
std::optional<duration> hedge_delay_for_objective(const service_view&, duration objective);

// The latency that an answer rarely exceeds. `expected`: at the target chosen; zero: the mean.
// `unknown`: what to assume before the first answer of the service.
duration latency_bound(const service_view&, duration expected, duration unknown);

// Estimate of the service's calls in progress per slot, over all hosts; above 1 calls wait. Input
// of admission's set_load. Zero when there is no target.
double calls_per_slot(const service_view&);

// Takes one extra attempt from the budget, which is a fraction of first attempts; false when it is
// spent. Hedges leave a reserve for retries.
bool take_retry(service_view&, time_point now);
bool take_hedge(service_view&, time_point now);

} // namespace savoryscale::routing
