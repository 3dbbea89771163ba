#pragma once

// The metrics of one process. Each metric is looked up in the registry once, at start; tasks use
// the references.

#include "admission/admission.hpp"
#include "admission/room.hpp"
#include "admission/send_check.hpp"
#include "routing/target.hpp"
#include "store/object_api.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savoryscale::telemetry {

// How a request ended, as its caller saw it.
enum class request_end : std::uint8_t {
    answered,    // an upstream's complete answer was forwarded
    not_run,     // answered by this host: the request did not run
    unknown,     // answered by this host: the request may have run
    broken_off,  // the answer was started but could not be completed
    malformed,   // rejected as invalid HTTP
    caller_left, // the caller disconnected before the end of the answer
};

// An event of a connection to a target.
enum class connection_event : std::uint8_t {
    opened,  // a new connection was opened
    reused,  // an idle connection was used for another request
    retired, // closed by this host: idle too long, surplus, or not verified to work
    failed,  // a connection could not be opened
};

enum class direction : std::uint8_t { sent, received };

// One counter for each enumerator of `Enum`, of which `last` is the last.
template<class Enum, Enum last>
struct counter_set {
    std::array<prometheus::Counter*, static_cast<std::size_t>(last) + 1> counters_{};

    prometheus::Counter& operator[](Enum value) const
    {
        return *counters_[static_cast<std::size_t>(value)];
    }
};

using store_status_counters = counter_set<store::call_status, store::call_status::unavailable>;

// All metrics. They can be updated from any thread, without a lookup. The registry must outlive
// them.
struct metrics {
    counter_set<request_end, request_end::caller_left> requests_;
    prometheus::Histogram&
        request_duration_; // seconds, from the request's header to the end of the answer
    prometheus::Gauge& requests_in_progress_;
    prometheus::Gauge& caller_connections_;
    prometheus::Gauge& caller_memory_; // bytes
    prometheus::Counter& callers_given_up_;
    prometheus::Counter& callers_turned_away_;

    counter_set<routing::attempt_end, routing::attempt_end::abandoned> attempts_;
    prometheus::Counter& retries_;
    prometheus::Counter& hedges_;
    counter_set<connection_event, connection_event::failed> target_connections_;
    prometheus::Counter& probes_;
    prometheus::Counter& probe_bytes_;
    prometheus::Family<prometheus::Gauge>& target_limits_;     // requests per second
    prometheus::Family<prometheus::Gauge>& target_limit_ages_; // seconds
    prometheus::Family<prometheus::Gauge>& target_limit_granted_;
    prometheus::Family<prometheus::Gauge>& data_centre_emptied_since_;    // Unix time, seconds
    prometheus::Family<prometheus::Gauge>& data_centre_emptied_requests_; // in flight there
    prometheus::Counter& limited_requests_;
    prometheus::Counter& quarantined_requests_;
    counter_set<admission::refusal_cause, admission::refusal_cause::target_limits>
        send_refusals_; // refusal_cause::none is never counted
    counter_set<direction, direction::received> allotment_reports_;
    counter_set<admission::standing, admission::standing::overdue> standings_;
    prometheus::Gauge& suspects_;
    prometheus::Gauge& services_unreachable_;
    counter_set<direction, direction::received> relayed_requests_;

    counter_set<admission::refusal, admission::refusal::overload>
        refusals_; // refusal::none is never counted

    prometheus::Gauge& configuration_version_;
    prometheus::Gauge& store_era_;
    counter_set<direction, direction::received> peer_bytes_;
    std::array<store_status_counters, static_cast<std::size_t>(store::operation::watch) + 1>
        store_calls_;

    prometheus::Counter& spans_exported_;
    prometheus::Counter& spans_dropped_;

    prometheus::Counter& store_call(store::operation type, store::call_status status) const
    {
        return store_calls_[static_cast<std::size_t>(type)][status];
    }
};

// Registers all metrics. Must be called only once per registry.
metrics register_metrics(prometheus::Registry& registry);

} // namespace savoryscale::telemetry
