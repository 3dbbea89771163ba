#pragma once

// Logging of state changes and of decisions. Frequent events are counted in metrics instead.

#include "settings/settings.hpp"

#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

namespace savoryscale::telemetry {

enum class severity : std::uint8_t { debug, info, warning, error };

// A field of a log line: its name in snake_case and its value.
using log_field = std::pair<std::string_view, std::string>;

// Starts logging, by Boost.Log, of lines at or above the level in `config` to `out`, which must
// live until stop_logging. A separate thread writes the lines from a bounded queue; when the queue
// is full, lines are dropped. Before this call nothing is logged. Throws std::logic_error if the
// level is unknown.
void start_logging(const settings::logging& config, std::ostream& out);

// Writes the queued lines and ends logging.
void stop_logging();

// Starts logging without a thread, for a process with a single event loop: lines are written to the
// descriptor when flush_log is called or a batch is full. Only the thread that called this may log.
void start_single_threaded_logging(const settings::logging& config, int descriptor);
void flush_log();

// Logs one state change. `event` is in snake_case, with the verb last: "host_draining". May be
// called from any thread, except after start_single_threaded_logging; never blocks on the output.
void state_change(std::string_view event, std::initializer_list<log_field> fields,
                  severity level = severity::info);

// Logs one decision about a request or about this host's view of other hosts: the id of the
// request, the inputs of the decision and their age, and the outcome. Lines beyond
// logging.lines_per_second are dropped and counted. Writes nothing unless logging was started by
// start_single_threaded_logging.
void decided(std::string_view event, std::string_view request_id,
             std::initializer_list<log_field> fields);

// Returns whether `decided` writes lines, so that callers can skip formatting its fields.
bool is_decision_logging_enabled();

// Formats one line, without a line feed. `time` is in UTC.
std::string format_json_line(std::string_view time, severity level, std::string_view event,
                             std::initializer_list<log_field> fields);
std::string format_plain_line(std::string_view time, severity level, std::string_view event,
                              std::initializer_list<log_field> fields);

} // namespace savoryscale::telemetry
