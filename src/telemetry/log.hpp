#pragma once

// Log lines for changes of state, by Boost.Log. What happens often is a metric, not a line.

#include "settings/settings.hpp"

#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

namespace savoryscale::telemetry {

enum class severity : std::uint8_t { debug, info, warning, error };

// A field of a line: its name in snake_case and its value.
using log_field = std::pair<std::string_view, std::string>;

// Sends lines of the level in `config` and above to `out`, which must live until stop_logging.
// Lines are written by a thread of their own from a bounded queue; when it is full, lines are
// dropped. Without this call nothing is logged. Throws std::logic_error when the level is unknown.
void start_logging(const settings::logging& config, std::ostream& out);

// Writes what is queued and ends the thread.
void stop_logging();

// The same without a thread, for a process with one event loop: lines go to the descriptor whenever
// flush_log is called, or many have gathered. Only the thread that called this may log.
void start_line_log(const settings::logging& config, int descriptor);
void flush_log();

// Logs one change of state. `event` is in snake_case, with the verb last: "host_draining". From any
// thread; never blocks on the output.
void state_change(std::string_view event, std::initializer_list<log_field> fields,
                  severity level = severity::info);

// Logs one decision on a request, or on what this host believes: the id of the request, the inputs
// that decided and their age, the outcome. Beyond logging.lines_per_second such lines are dropped
// and counted. Needs start_line_log; else nothing is written.
void decided(std::string_view event, std::string_view request_id,
             std::initializer_list<log_field> fields);

// Whether decided writes anything, so that its fields need not be made in vain.
bool logs_decisions();

// One line without its end. `time` is in UTC.
std::string format_json_line(std::string_view time, severity level, std::string_view event,
                             std::initializer_list<log_field> fields);
std::string format_plain_line(std::string_view time, severity level, std::string_view event,
                              std::initializer_list<log_field> fields);

} // namespace savoryscale::telemetry
