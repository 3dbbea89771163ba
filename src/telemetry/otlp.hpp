#pragma once

// Formats spans as OTLP/JSON, the format that collectors accept at /v1/traces.

#include "telemetry/span.hpp"

#include <span>
#include <string>

namespace savoryscale::telemetry {

// The host that sends the spans.
struct trace_source {
    std::string host_id_;
    std::string data_centre_;
    std::string region_;
};

// Returns the body of one export request.
std::string print_otlp(const trace_source& source, std::span<const span> spans);

} // namespace savoryscale::telemetry
