#pragma once

// The W3C traceparent header. Parsing is strict: a malformed header is treated as absent.

#include "telemetry/span.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

// Parses a header value. For versions above 00 only the first four fields are read, as the
// specification requires. Returns nothing if the value is malformed or an id is all zeros.
std::optional<trace_context> parse_traceparent(std::string_view header);

// Formats a header value of version 00.
std::string format_traceparent(const trace_context& context);

// Formats an id as lower-case hexadecimal digits.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

} // namespace savoryscale::telemetry
