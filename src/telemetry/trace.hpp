#pragma once

// The trace of one call, as the task that serves it keeps it: ids for its spans, the header for its
// attempts, and times. Spans go to a span_queue.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "telemetry/span.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

// Fixed when the call begins.
struct call_trace {
    trace_id trace_{};
    span_id root_{};        // of the call's own span, the parent of the others
    span_id caller_span_{}; // the caller's; all zeros: there is none
    bool sampled_ = false;
    time_point started_{};
    std::uint64_t started_ns_ = 0; // the same moment by the wall clock, since the epoch
};

// Begins the trace of a call. A valid `traceparent` is continued and its word on sampling is taken;
// without one (empty or malformed) a new trace is sampled with probability `sample_ratio`.
// `wall_ns` is the wall clock at `now`.
call_trace begin_trace(std::string_view traceparent, double sample_ratio, random_source& random,
                       time_point now, std::uint64_t wall_ns);

// The wall clock now, in nanoseconds since the epoch; for tasks only.
std::uint64_t wall_clock_ns();

// A new id for a span of any call; never all zeros.
span_id make_span_id(random_source& random);

// The traceparent header to send with the attempt whose span has this id.
std::string outgoing_traceparent(const call_trace& call, const span_id& attempt);

// The span of the call as a whole, from its beginning to `end`.
span root_span(const call_trace& call, std::string name, time_point end);

// A span inside the call, child of its root.
span child_span(const call_trace& call, std::string name, span_kind kind, const span_id& id,
                time_point start, time_point end);

} // namespace savoryscale::telemetry
