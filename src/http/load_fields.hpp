#pragma once

// Parses the load that a target reports in the header fields of its answers and in answers to
// probes.

#include "base/clock.hpp"
#include "http/head.hpp"
#include "routing/target.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::http {

// Reads X-Load-In-Flight, X-Load-Utilization and X-Draining. None when the answer reports no load.
// Fields that are not numbers are ignored: a wrong load report must not make a call fail.
std::optional<routing::load_report> read_load(const answer_head& head);

// Reads "running,waiting,slots" or "running,waiting,slots,slowdown" from the field `field_name`;
// the slowdown is the service time in percent of the usual. None when it is absent or malformed.
std::optional<routing::load_report> read_compact_load(const answer_head& head,
                                                      std::string_view field_name);

// The requests per second that a target takes from all hosts together. A value that is not a
// decimal number from 0 to limit_max is invalid.
enum class limit_reading : std::uint8_t { absent, valid, invalid };
struct limit_field {
    limit_reading reading_ = limit_reading::absent;
    double per_second_ = 0;
};
inline constexpr double limit_max = 1e6;
limit_field read_limit(const answer_head& head, std::string_view field_name);

// The time that a target stays cold, in whole milliseconds; none when the field is absent or is not
// a number from 0 to an hour.
std::optional<duration> read_warm_up(const answer_head& head, std::string_view field_name);

// Reads a probe's JSON answer: {"in_flight": 2, "utilization": 0.5, "draining": false}, each member
// optional. None when the text is not a JSON object.
std::optional<routing::load_report> parse_load(std::string_view text);

} // namespace savoryscale::http
