// Limits that targets name in their answers.

#include "http/load_fields.hpp"
#include "routing/target_limit.hpp"

#include <chrono>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;
using routing::limit_source;

namespace {

http::limit_field read(const std::string& value)
{
    http::answer_head head;
    head.fields_.push_back({"X-Limit", value});
    return http::read_limit(head, "X-Limit");
}

} // namespace

TEST_GROUP(target_limit)
{
    std::optional<routing::target_limit> known;
    time_point now = time_point{} + 100s;
};

TEST(target_limit, values_that_are_no_decimal_number_are_taken_for_limits)
{
    DOUBLES_EQUAL(0.25, read("0.25").per_second_, 1e-9);
    CHECK(read("0").reading_ == http::limit_reading::valid);
    for (const char* value : {"", "many", "-1", "inf", "nan", "1e3", "1.5x", "1 2", "0x10",
                              "1000001", "99999999999999999999999999999999999999999999999"}) {
        CHECK_TEXT(read(value).reading_ == http::limit_reading::invalid, value);
    }
    CHECK(read(std::string(5000, '9')).reading_ == http::limit_reading::invalid);
    CHECK(http::read_limit({}, "X-Limit").reading_ == http::limit_reading::absent);
    CHECK(http::read_limit({}, "").reading_ == http::limit_reading::absent);
}

TEST(target_limit, a_limit_that_rises_or_is_withdrawn_stays_in_force)
{
    CHECK(routing::on_limit_heard(known, 2.0, limit_source::request, now));
    CHECK(!routing::on_limit_heard(known, 2.0, limit_source::request, now + 1s));
    CHECK(known->named_at_ == now && known->heard_at_ == now + 1s);
    CHECK(routing::on_limit_heard(known, 3.0, limit_source::request, now + 2s));
    DOUBLES_EQUAL(3, known->per_second_, 0);
    CHECK(routing::on_limit_heard(known, std::nullopt, limit_source::request, now + 3s));
    CHECK(!known.has_value());
}

TEST(target_limit, probes_that_never_name_limits_withdraw_one)
{
    routing::on_limit_heard(known, 2.0, limit_source::request, now);
    CHECK(!routing::on_limit_heard(known, std::nullopt, limit_source::probe, now + 1s));
    CHECK(known.has_value());
    routing::on_limit_heard(known, 2.0, limit_source::probe, now + 2s);
    CHECK(routing::on_limit_heard(known, std::nullopt, limit_source::probe, now + 3s));
    CHECK(!known.has_value());
}
