#pragma once

// The W3C traceparent header, read strictly: what is malformed is as good as absent.

#include "telemetry/span.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

// Parses a header value. Versions above 00 are read as the specification asks, by their first four
// fields. Nothing when it is malformed or an id is all zeros.
std::optional<trace_context> parse_traceparent(std::string_view header);

// The header value of version 00.
std::string format_traceparent(const trace_context& context);

// An id in lower-case hexadecimal digits.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

} // namespace savoryscale::telemetry
