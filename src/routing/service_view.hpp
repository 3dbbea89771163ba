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

// Make one by make_view. An index stays with an address for the life of the process, so memory
// grows with the number of distinct addresses ever listed, not with restarts.
struct service_view {
    std::string data_centre_;
    policy policy_ = policy::least_wait;
    std::uint32_t slots_per_target_ = 2;
    duration cold_start_{};
    bool hedge_ = true;
    bool listed_once_ = false;
    std::vector<target_state> targets_;
    std::vector<target_index> used_; // listed targets in this host's subset, ascending
    std::string own_id_;             // of this host; empty: no subsets
    std::size_t subset_max_ = 0;     // targets that a host uses by itself, without hosts_; 0: all
    std::vector<std::string> hosts_; // ids of all entry hosts
    std::map<std::string, target_index, std::less<>> by_address_; // "ip:port"
    std::size_t next_in_turn_ = 0;                                // round robin
    report_pool reports_;                                         // hot-cold
    double mean_foreign_ = 0; // moving average of the other hosts' requests in flight, all targets
    double mean_latency_ns_ = 0; // moving average of answered attempts, all targets
    double latencies_heard_ = 0;
    double mean_failure_ratio_ = 0; // moving average of attempts, all targets
    latency_histogram latencies_;
    probe_budget probes_;
    retry_budget retries_;
};

// A view without targets. Probing starts off; see set_probe_share.
service_view make_view(const settings::service&, std::string_view own_data_centre, policy);

// Takes the whole list of the service's targets; those missing from it get no new attempt. A higher
// incarnation at a known address is a new server: it starts slowly and inherits no suspicion.
void update_targets(service_view&, std::span<const target_info>, time_point now);

// Tells the ids of all entry hosts as far as they are known. Large services are then divided among
// them; see subset.hpp. Until it is called a host uses all targets.
void set_hosts(service_view&, std::string_view own_id, std::span<const std::string> hosts);

// The target for the next attempt, none when there is no eligible one. Never one that is leaving or
// draining, nor one in `exclude`.
std::optional<target_index> choose(service_view&, std::span<const target_index> exclude,
                                   time_point now, random_source&);

// The targets that may get an attempt, ascending: of this host's subset, or of the whole list when
// none of the subset is eligible.
std::vector<target_index> eligible_targets(const service_view&,
                                           std::span<const target_index> exclude);

// Attempts of this host that have not ended.
double own_in_flight(const service_view&);

// Where to connect. The reference holds until update_targets.
const settings::endpoint& address_of(const service_view&, target_index);

// Call when an attempt is handed to a connection, and once when it has ended in any way.
void attempt_started(service_view&, target_index, time_point now);
void attempt_ended(service_view&, const attempt_report&, time_point now);

// This host's share of the service's probes, per second; see probe_budget.
void set_probe_share(service_view&, double probes_per_second);

// The target to probe now, none when the share is used up. Each answer counts as one probe sent.
std::optional<target_index> next_probe(service_view&, time_point now, random_source&);

// The probe's answer; none when it failed or timed out.
void probe_ended(service_view&, target_index, std::optional<load_report>, time_point now);

// A target did not answer a probe, or said that it takes no requests: it is left out for a while.
void probe_failed(service_view&, target_index, time_point now);

// How long a repeatable request waits before a second attempt starts beside the first. None when
// hedging is off, too little is known, the service is short of capacity, or the budget is spent.
// Call take_hedge when it starts.
std::optional<duration> hedge_after(const service_view&, time_point now);

// The same for a request with a goal, where a free target is looked for before the second attempt:
// once the goal is missed, an answer that was lost is more likely than a slow one.
std::optional<duration> hedge_within(const service_view&, duration goal);

// Calls in progress per slot of the service, of all hosts, as far as it is known; above 1 calls
// wait. For admission's set_load. Zero when there is no target.
double in_use(const service_view&);

// Takes one extra attempt from the budget, a fraction of first attempts; false when it is spent.
// A hedge leaves a reserve for retries.
bool take_retry(service_view&, time_point now);
bool take_hedge(service_view&, time_point now);

} // namespace savoryscale::routing
