#include "telemetry/log.hpp"

#include "telemetry/line_sink.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <optional>
#include <ostream>
#include <stdexcept>

namespace savoryscale::telemetry {

namespace {

namespace sinks = boost::log::sinks;
using backend = sinks::text_ostream_backend;

constexpr std::size_t queued_lines_max = 1024;
using threaded_sink =
    sinks::asynchronous_sink<backend,
                             sinks::bounded_fifo_queue<queued_lines_max, sinks::drop_on_overflow>>;

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

// Set up by start_logging or start_single_threaded_logging. sink_ is shared with Boost.Log's core.
struct log_state {
    boost::shared_ptr<threaded_sink> sink_;
    std::atomic<bool> started_ = false;
    std::optional<line_sink>
        line_sink_; // used in place of sink_ after start_single_threaded_logging
    std::atomic<severity> lowest_ = severity::info;
    std::atomic<bool> json_ = true;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

severity parse_level(std::string_view name)
{
    const auto found = std::find(level_names.begin(), level_names.end(), name);
    if (found == level_names.end()) {
        throw std::logic_error{"unknown log level"};
    }
    return static_cast<severity>(found - level_names.begin());
}

std::string_view name_of(severity level)
{
    return level_names[static_cast<std::size_t>(level)];
}

std::string utc_now()
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%FT%T}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       milliseconds);
}

// Formats the text as a JSON string; invalid UTF-8 is replaced.
std::string json_string(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Formats a value for a plain line: quoted only if it would be ambiguous without quotes.
std::string plain_value(std::string_view text)
{
    const bool bare = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7f && c != '"' && c != '=' && c != '\\';
    });
    return bare ? std::string{text} : json_string(text);
}

} // namespace

void start_logging(const settings::logging& config, std::ostream& out)
{
    log_state& log = state();
    stop_logging();
    log.lowest_ = parse_level(config.level_);
    log.json_ = config.json_;
    const auto lines = boost::make_shared<backend>();
    lines->add_stream(boost::shared_ptr<std::ostream>{&out, [](std::ostream*) {}});
    lines->auto_flush(true);
    log.sink_ = boost::make_shared<threaded_sink>(lines);
    log.sink_->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(log.sink_);
    log.started_ = true;
}

void stop_logging()
{
    log_state& log = state();
    if (log.line_sink_) {
        flush_log();
        log.started_ = false;
        log.line_sink_.reset();
        return;
    }
    if (!log.started_.exchange(false)) {
        return;
    }
    boost::log::core::get()->remove_sink(log.sink_);
    log.sink_->stop();
    log.sink_->flush();
    log.sink_.reset();
}

void state_change(std::string_view event, std::initializer_list<log_field> fields, severity level)
{
    const log_state& log = state();
    if (!log.started_ || level < log.lowest_) {
        return;
    }
    const auto format = log.json_ ? format_json_line : format_plain_line;
    if (log.line_sink_) {
        state().line_sink_->append(format(utc_now(), level, event, fields), false, monotonic_now());
        return;
    }
    boost::log::sources::logger_mt source;
    BOOST_LOG(source) << format(utc_now(), level, event, fields);
}

void start_single_threaded_logging(const settings::logging& config, int descriptor)
{
    log_state& log = state();
    stop_logging();
    log.lowest_ = parse_level(config.level_);
    log.json_ = config.json_;
    log.line_sink_.emplace(descriptor, line_sink_options{config.lines_per_second_});
    log.started_ = true;
}

void flush_log()
{
    log_state& log = state();
    if (!log.line_sink_) {
        return;
    }
    if (const std::uint64_t dropped = log.line_sink_->take_dropped(); dropped > 0) {
        state_change("log_lines_dropped", {{"lines", std::to_string(dropped)}}, severity::warning);
    }
    log.line_sink_->flush();
}

bool is_decision_logging_enabled()
{
    return state().line_sink_.has_value() && state().lowest_ <= severity::info;
}

void decided(std::string_view event, std::string_view request_id,
             std::initializer_list<log_field> fields)
{
    if (!is_decision_logging_enabled()) {
        return;
    }
    std::string line = fmt::format(R"({{"time":"{}","event":"{}","request":{})", utc_now(), event,
                                   json_string(request_id));
    for (const auto& [name, value] : fields) {
        line += fmt::format(R"(,"{}":{})", name, json_string(value));
    }
    line.push_back('}');
    state().line_sink_->append(line, true, monotonic_now());
}

std::string format_json_line(std::string_view time, severity level, std::string_view event,
                             std::initializer_list<log_field> fields)
{
    std::string line = fmt::format(R"({{"time":{},"level":{},"event":{})", json_string(time),
                                   json_string(name_of(level)), json_string(event));
    for (const auto& [name, value] : fields) {
        line += fmt::format(",{}:{}", json_string(name), json_string(value));
    }
    return line + "}";
}

std::string format_plain_line(std::string_view time, severity level, std::string_view event,
                              std::initializer_list<log_field> fields)
{
    std::string line = fmt::format("{} {} {}", time, name_of(level), event);
    for (const auto& [name, value] : fields) {
        line += fmt::format(" {}={}", name, plain_value(value));
    }
    return line;
}

} // namespace savoryscale::telemetry
