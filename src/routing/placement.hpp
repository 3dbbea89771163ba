#pragma once

// Places one attempt by probing a few targets just before it is sent. It handles two situations:
// noisy neighbours that slow a target for a few hundred milliseconds at a time, and many entry
// hosts with few requests each, where a host's load reports are outdated before they are used.
//
// Candidates are probed in rounds. A round ends the search when it finds a target that is free and
// not slowed; otherwise the best target of all rounds is used, if it can answer in time.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "routing/target.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace savoryscale::routing {

struct service_view;

// The result of a recent probe.
struct probed_target {
    target_index target_ = 0;
    std::optional<load_report> load_; // none: the answer had no load report
};

struct placement_options {
    std::size_t round_size_ = 4; // targets probed at once
    std::size_t rounds_max_ = 4;
    // Waiting requests per slot, at which a target is full. None may wait at a target of more
    // slots than `few_slots_`: the requests in its other slots keep it busy until the next one
    // arrives, and a full target is slow for all of them.
    double queue_max_ = 0.5;
    double few_slots_ = 2;
    bool may_wait_ = true; // false: a target without a free slot is full
    // Targets that are expected to take longer are not chosen.
    std::optional<duration> expected_max_;
};

// The targets to probe next, without those in `exclude`: the least loaded of a random sample. The
// first round takes half of them from the local data centre; later rounds treat all data centres
// alike, so that one with more callers than targets finds free targets in the others.
std::vector<target_index> probe_candidates(service_view&, std::span<const target_index> exclude,
                                           std::size_t count, bool local_first, time_point now,
                                           random_source&);

// Bounds the probes per target and second over all hosts, without knowing the other hosts: the
// requests in flight and the mean latency give the request rate of all hosts (Little's law), and
// from it the probes that each request may cost. Probes unused at low load are saved for high load;
// the bound holds for the mean since the start.
struct placement_budget {
    double probes_per_target_ = 40; // per second, of all hosts
    double probes_max_ = 2000;      // probes that can be saved
    double scarce_below_ = 40;      // with fewer saved, a search stops earlier
    double mean_in_flight_ = 0;     // per target, as probes report it
    double mean_own_in_flight_ = 0; // of this host, at all targets
    double success_ratio_ = 1;      // of searches: moving average of those that found a target
    double probes_ = 0;             // saved by this host
};
void on_search_started(placement_budget&, double mean_latency_s);
std::size_t take_probes(placement_budget&, std::size_t wanted);
void on_search_ended(placement_budget&, std::span<const probed_target>, double own_in_flight,
                     bool placed);

// Extra attempts that this host may save, out of the `slack` of all hosts together. Its part is its
// own fraction of the requests at the targets.
double extra_attempts_max(const placement_budget&, double slack, std::size_t targets);

// Whether one of the targets would start the attempt at once and at its usual speed, which ends the
// search. A target that names a limit counts only if all of them do.
bool has_free_target(const service_view&, std::span<const probed_target>, time_point now);

// How many of the targets have a free slot and are expected to answer within this time.
std::size_t count_in_time(const service_view&, std::span<const probed_target>, duration within,
                          time_point now);

// The expected latency at a free target. Zero before the first answer of the service.
duration usual_work(const service_view&);

// The target with the lowest cost, and its expected latency. None when all are full.
struct placed_attempt {
    target_index target_ = 0;
    double latency_ratio_ = 1; // expected latency, relative to the usual processing time
    duration expected_{};      // expected latency; zero before the first answer of the service
};
std::optional<placed_attempt> place(const service_view&, std::span<const probed_target>,
                                    const placement_options&, time_point now, random_source&);

// The target that is expected to have the shortest wait by earlier load reports and this host's own
// attempts, for a search that could not probe or got no answer. None when it is expected to be
// full.
std::optional<placed_attempt> place_unprobed(service_view&, std::span<const target_index> exclude,
                                             time_point now, random_source&);

// Whether a search may end with this target because probes are scarce: it can answer soon, and
// within the latency objective. The probes saved serve searches that have found no target.
// `objective_left`: time until the objective is missed; none: there is no objective.
bool is_acceptable_when_scarce(const placement_budget&, const std::optional<placed_attempt>&,
                               std::optional<duration> objective_left);

// The probed targets that name a limit and rank before the best one without, best first: the order
// in which one request wishes for their grants. At most `count`.
std::vector<placed_attempt> place_limited(const service_view&, std::span<const probed_target>,
                                          const placement_options&, std::size_t count,
                                          time_point now);

// A random sample of the targets that name a limit and are not expected to be full, by earlier
// reports: for a search that has found no target. Within their limits such targets are rarely full.
std::vector<placed_attempt> place_limited_unprobed(const service_view&,
                                                   std::span<const target_index> exclude,
                                                   std::size_t count, time_point now,
                                                   random_source&);

// Expected time until a slot is free at one of the probed targets.
duration time_to_free_slot(const service_view&, std::span<const probed_target>);

} // namespace savoryscale::routing
