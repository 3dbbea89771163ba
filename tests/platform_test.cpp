#include "platform/status_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::platform;

TEST_GROUP(status_record){};

TEST(status_record, survives_printing_and_parsing)
{
    const status_record record{
        "mobile", "mobile-1", 1764826000000, {{"mobile-1", 7, ""}, {"mobile-2", 6, "no word"}}};
    const auto parsed = parse_status_record(print(record));
    CHECK(parsed.has_value());
    CHECK(record == *parsed);
}

TEST(status_record, lets_unknown_fields_pass)
{
    const auto parsed = parse_status_record(
        R"({"data_centre":"m","reporter":"a","written_ms":1,"hosts":[],"later":true})");
    CHECK(parsed.has_value());
}

TEST(status_record, refuses_what_is_no_record)
{
    for (const char* text :
         {"", "[]", "{}", R"({"data_centre":"m","reporter":"a","written_ms":1,"hosts":[3]})",
          R"({"data_centre":"m","reporter":"a","written_ms":1,
              "hosts":[{"id":"a","held_version":-1,"behind_reason":""}]})"}) {
        CHECK_FALSE(parse_status_record(text).has_value());
    }
}
