#pragma once

// The trace of one call, kept by the task that serves it: the ids of its spans, the header for its
// attempts, and its times. Finished spans are pushed to a span_queue.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "telemetry/span.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

// Does not change after the start of the call.
struct call_trace {
    trace_id trace_{};
    span_id root_{};        // the span of the call itself, parent of the others
    span_id caller_span_{}; // the caller's span; all zeros if there is none
    bool sampled_ = false;
    time_point started_{};
    std::uint64_t started_ns_ = 0; // started_ on the wall clock, since the Unix epoch
};

// Starts the trace of a call. If `traceparent` is valid, its trace and its sampling decision are
// used; if it is empty or malformed, a new trace is sampled with probability `sample_ratio`.
// `wall_ns` is the wall clock at `now`.
call_trace begin_trace(std::string_view traceparent, double sample_ratio, random_source& random,
                       time_point now, std::uint64_t wall_ns);

// Returns the wall clock in nanoseconds since the Unix epoch. Only tasks call it; other functions
// take the time as a parameter.
std::uint64_t wall_clock_ns();

// Returns a new random span id; never all zeros.
span_id make_span_id(random_source& random);

// Returns the traceparent header for the attempt whose span has the id `attempt`.
std::string outgoing_traceparent(const call_trace& call, const span_id& attempt);

// Returns the span of the whole call, from its start to `end`.
span root_span(const call_trace& call, std::string name, time_point end);

// Returns a span within the call, a child of its root span.
span child_span(const call_trace& call, std::string name, span_kind kind, const span_id& id,
                time_point start, time_point end);

} // namespace savoryscale::telemetry
