#include "telemetry/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;

TEST_GROUP(log){};

TEST(log, json_line_is_valid_json_for_any_value)
{
    const std::string line = telemetry::format_json_line(
        "t", telemetry::severity::warning, "host_left", {{"id", "a\"\n\xff"}, {"n", "2"}});
    const auto parsed = nlohmann::json::parse(line);
    STRCMP_EQUAL("host_left", parsed["event"].get<std::string>().c_str());
    STRCMP_EQUAL("warning", parsed["level"].get<std::string>().c_str());
    STRCMP_EQUAL("a\"\n\xef\xbf\xbd", parsed["id"].get<std::string>().c_str());
    LONGS_EQUAL(1, 1 + std::count(line.begin(), line.end(), '\n'));
}

TEST(log, plain_line_quotes_ambiguous_values)
{
    STRCMP_EQUAL("t info stop_begun id=a-1 why=\"x y\" none=\"\"",
                 telemetry::format_plain_line("t", telemetry::severity::info, "stop_begun",
                                              {{"id", "a-1"}, {"why", "x y"}, {"none", ""}})
                     .c_str());
}

TEST(log, only_the_level_and_above_are_written)
{
    std::ostringstream out;
    telemetry::state_change("before_start", {});
    telemetry::start_logging({true, "warning"}, out);
    telemetry::state_change("too_low", {});
    telemetry::state_change("kept", {{"n", "1"}}, telemetry::severity::error);
    telemetry::stop_logging();
    telemetry::state_change("after_stop", {}, telemetry::severity::error);
    const std::string text = out.str();
    LONGS_EQUAL(1, std::count(text.begin(), text.end(), '\n'));
    STRCMP_EQUAL("kept", nlohmann::json::parse(text)["event"].get<std::string>().c_str());
}
