#pragma once

// The metrics of one process. Tasks get references that were looked up once, at start.

#include "admission/admission.hpp"
#include "routing/target.hpp"
#include "store/object_api.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savoryscale::telemetry {

// How a request ended for its caller.
enum class request_end : std::uint8_t {
    answered,    // an upstream's whole answer was passed on
    not_run,     // answered by this host: it did not run
    unknown,     // answered by this host: it may have run
    broken_off,  // an answer was begun and could not be completed
    malformed,   // refused as no valid HTTP
    caller_left, // the caller went away first
};

// What became of a connection to a target.
enum class connection_event : std::uint8_t {
    opened,  // a new one was opened
    reused,  // an idle one took another request
    retired, // closed by this host: idle too long, surplus, or no proof of life
    failed,  // could not be opened
};

enum class direction : std::uint8_t { sent, received };

// One counter for each value of an enumeration, whose last value is `last`.
template<class Enum, Enum last>
struct counter_set {
    std::array<prometheus::Counter*, static_cast<std::size_t>(last) + 1> counters_{};

    prometheus::Counter& operator[](Enum value) const
    {
        return *counters_[static_cast<std::size_t>(value)];
    }
};

using store_status_counters = counter_set<store::call_status, store::call_status::unavailable>;

// Every metric; all may be updated from any thread without a lookup. The registry outlives it.
struct metrics {
    counter_set<request_end, request_end::caller_left> requests_;
    prometheus::Histogram&
        request_duration_; // seconds, from the request's head to the answer's end
    prometheus::Gauge& requests_in_progress_;
    prometheus::Gauge& caller_connections_;

    counter_set<routing::attempt_end, routing::attempt_end::abandoned> attempts_;
    prometheus::Counter& retries_;
    prometheus::Counter& hedges_;
    counter_set<connection_event, connection_event::failed> target_connections_;
    prometheus::Counter& probes_;
    prometheus::Counter& probe_bytes_;

    counter_set<admission::refusal, admission::refusal::overload> refusals_; // none_ is never used

    prometheus::Gauge& configuration_version_;
    counter_set<direction, direction::received> peer_bytes_;
    std::array<store_status_counters, static_cast<std::size_t>(store::operation::watch) + 1>
        store_calls_;

    prometheus::Counter& spans_exported_;
    prometheus::Counter& spans_dropped_;

    prometheus::Counter& store_call(store::operation made, store::call_status seen) const
    {
        return store_calls_[static_cast<std::size_t>(made)][seen];
    }
};

// Registers every metric, once for each registry.
metrics register_metrics(prometheus::Registry& registry);

} // namespace savoryscale::telemetry
