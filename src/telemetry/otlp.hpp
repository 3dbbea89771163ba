#pragma once

// Spans in OTLP/JSON, as collectors take them at /v1/traces.

#include "telemetry/span.hpp"

#include <span>
#include <string>

namespace savoryscale::telemetry {

// Who sends the spans.
struct trace_source {
    std::string host_id_;
    std::string data_centre_;
    std::string region_;
};

// The body of one export request.
std::string print_otlp(const trace_source& source, std::span<const span> spans);

} // namespace savoryscale::telemetry
