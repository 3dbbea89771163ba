#pragma once

// Spans of one call, and the W3C trace context that links them.

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savoryscale::telemetry {

using trace_id = std::array<std::uint8_t, 16>;
using span_id = std::array<std::uint8_t, 8>;

// The content of a traceparent header.
struct trace_context {
    trace_id trace_{};
    span_id parent_{};
    bool sampled_ = false;
};

// What a span covers. The values are those of OTLP's SpanKind.
enum class span_kind : std::uint8_t {
    internal = 1, // work inside this host
    server = 2,   // a caller's request
    client = 3,   // an attempt on a target
};

// One finished span, ready to export. Times are wall-clock, in nanoseconds since the epoch.
struct span {
    trace_id trace_{};
    span_id id_{};
    span_id parent_{};
    std::string name_;
    span_kind kind_ = span_kind::internal;
    std::uint64_t start_ns_ = 0;
    std::uint64_t end_ns_ = 0;
    bool failed_ = false;
    std::vector<std::pair<std::string, std::string>> attributes_;
};

} // namespace savoryscale::telemetry
