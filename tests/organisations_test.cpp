// Organisations, their keys, and what a request's header shows of them, without a network.

#include "http/head_text.hpp"
#include "organisations/caller_key.hpp"
#include "organisations/key_table.hpp"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <cmath>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::organisations;

namespace {

organisation named(std::string name, std::vector<std::string> keys)
{
    return {std::move(name), std::move(keys), std::nullopt, {}};
}

bool is_accepted(const std::vector<organisation>& all)
{
    return check_organisations(all).has_value();
}

key_reading reading_of(const std::vector<std::string_view>& values)
{
    return read_caller_key(values, "Token").reading_;
}

} // namespace

TEST_GROUP(organisations){};

TEST(organisations, two_organisations_with_one_key_are_refused_without_naming_it)
{
    CHECK(is_accepted({named("a", {"one", "one"}), named("b", {"two"})}));
    const auto refused =
        check_organisations(std::vector{named("a", {"k-17"}), named("b", {"k-17"})});
    CHECK(!refused.has_value());
    CHECK(to_string(refused.error()).find("k-17") == std::string::npos);
}

TEST(organisations, names_and_allotments_that_cannot_be_used_are_refused)
{
    for (const std::string& name : {std::string{}, std::string{"a\r\nX: 1"}, std::string{" a"},
                                    std::string{"a\0b", 3}, std::string(name_max_bytes + 1, 'a')}) {
        CHECK(!is_accepted({named(name, {})}));
    }
    CHECK(is_accepted({named("Siop Lyfrau Ll\xc5\xb7n", {})}));
    CHECK(!is_accepted({named("a", {}), named("a", {})}));
    CHECK(!is_accepted({named("a", {""})}));
    CHECK(!is_accepted({named("a", {std::string(key_max_bytes + 1, 'k')})}));
    for (const double odd : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        CHECK(!is_accepted({{"a", {}, std::nullopt, {odd, 0}}}));
        CHECK(!is_accepted({{"a", {}, std::nullopt, {0, odd}}}));
    }
    CHECK(!is_accepted(std::vector<organisation>(organisations_max + 1)));
}

TEST(organisations, a_key_names_its_organisation_and_nothing_near_it_does)
{
    std::vector<organisation> all;
    for (int i = 0; i < 1000; ++i) {
        all.push_back(
            named(fmt::format("o{}", i), {fmt::format("key-{}", i), fmt::format("k{}", i)}));
    }
    const key_table table = make_key_table(all);
    for (int i = 0; i < 1000; ++i) {
        const auto* found = find_by_key(table, digest_of(fmt::format("key-{}", i)));
        STRCMP_EQUAL(fmt::format("o{}", i).c_str(), found->name_.c_str());
        CHECK(found->keys_.empty());
    }
    for (const char* key : {"", "key-", "key-1000", "Key-1", "key-1 "}) {
        POINTERS_EQUAL(nullptr, find_by_key(table, digest_of(key)));
    }
    CHECK(find_by_name(table, "o7") == find_by_key(table, digest_of("k7")));
    POINTERS_EQUAL(nullptr, find_by_name(table, "o"));
}

TEST(organisations, a_header_that_is_not_one_plain_key_is_malformed)
{
    CHECK(reading_of({}) == key_reading::missing);
    CHECK(reading_of({"Token k1"}) == key_reading::valid);
    CHECK(reading_of({"token  k1"}) == key_reading::valid);
    for (const char* value : {"", "Token", "Token ", "k1", "Basic k1", "Tokenk1", "Token k1 k2",
                              "Token k\t1", "Token k\x80", "Token k1,k2 "}) {
        CHECK_TEXT(reading_of({value}) == key_reading::malformed, value);
    }
    CHECK(reading_of({"Token k1", "Token k1"}) == key_reading::malformed);
    const std::string huge = "Token " + std::string(key_max_bytes + 1, 'k');
    CHECK(reading_of({huge}) == key_reading::malformed);
}

// A release before the first formats sets the field to the caller's address alone.
TEST(organisations, only_a_host_can_name_the_organisation_of_a_request_that_is_handed_on)
{
    using http::read_relayed_caller;
    http::message_head head;
    head.fields_ = {{"Savoryscale-Caller", http::relayed_caller_text({"10.1.2.3", "kaje; 80"})}};
    CHECK((read_relayed_caller(head) == http::relayed_caller{"10.1.2.3", "kaje; 80"}));
    head.fields_ = {{"Savoryscale-Caller", "10.1.2.3"}};
    CHECK((read_relayed_caller(head) == http::relayed_caller{"10.1.2.3", ""}));
    settings::header_names names;
    CHECK(http::is_hop_by_hop(head, "savoryscale-caller", names));
}
