#include "settings/json_node.hpp"
#include "settings/parse.hpp"
#include "settings/tls_files.hpp"
#include "support/tls_identity_file.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace savoryscale;
using namespace std::chrono_literals;

namespace {

// A complete settings file in which `from` is replaced by `to`.
std::string text_with(const std::string& from = "", const std::string& to = "")
{
    std::string text = R"({
  "host": { "id": "mobile-1", "data_centre": "mobile", "region": "gulf-south" },
  "listen": { "address": "10.0.0.1:8080" }, // callers
  "platform": { "object_api": ["10.0.0.9:7000"], "host_list": ["10.0.0.8:7001"] },
  "services": [
    { "name": "ledger", "path_prefix": "/ledger/",
      "targets": [ { "address": "10.0.1.1:80", "data_centre": "mobile" } ] },
    { "name": "photos", "path_prefix": "/photos/" }
  ]
})";
    const std::size_t at = text.find(from);
    CHECK(at != std::string::npos);
    return from.empty() ? text : text.replace(at, from.size(), to);
}

// One mistake in the settings and the error that it must cause.
struct mistake {
    std::string from_;
    std::string to_;
    std::string where_;
    std::string what_;
};

} // namespace

TEST_GROUP(settings){};

TEST(settings, reads_every_kind_of_member)
{
    const auto parsed = settings::parse(
        text_with(R"("address": "10.0.0.1:8080")",
                  R"("address": "[fd00::1]:8080", "stop_lag_ms": 1500, "max_header_bytes": 2048)"),
        "s.json");
    CHECK(parsed.has_value());
    STRCMP_EQUAL("fd00::1", parsed->listen_.address_.ip_.c_str());
    LONGS_EQUAL(8080, parsed->listen_.address_.port_);
    CHECK(parsed->listen_.stop_lag_ == 1500ms);
    LONGS_EQUAL(2048, parsed->listen_.max_header_bytes_);
    LONGS_EQUAL(2, parsed->services_.size());
    STRCMP_EQUAL("10.0.1.1", parsed->services_[0].targets_[0].address_.ip_.c_str());
    LONGS_EQUAL(200, parsed->services_[1].connections_per_target_);
    CHECK(!parsed->admin_);
}

TEST(settings, the_memory_for_callers_is_set_or_derived_from_the_hosts_own)
{
    settings::settings config;
    LONGS_EQUAL(32U << 20U, settings::caller_memory_bytes(config));
    config.host_.memory_mb_ = 160;
    LONGS_EQUAL(40U << 20U, settings::caller_memory_bytes(config));
    config.listen_.body_memory_mb_ = 7;
    LONGS_EQUAL(7U << 20U, settings::caller_memory_bytes(config));
}

TEST(settings, each_mistake_gives_one_error_with_place_and_remedy)
{
    const std::string id = R"("id": "mobile-1")";
    const std::string listen = R"("address": "10.0.0.1:8080")";
    const std::string prefix = R"("path_prefix": "/photos/")";
    const std::vector<mistake> mistakes{
        {id, id + R"(, "colour": 1)", "s.json#/host/colour", "is not a known key"},
        {id, R"("id": 7)", "s.json#/host/id", "is not a string"},
        {id, R"("id": "a b")", "s.json#/host/id", "is not a valid name"},
        {id, R"("id": "")", "s.json#/host/id", "is 0 bytes long"},
        {id + ",", "", "s.json#/host/id", "is missing"},
        {R"("services")", R"("header_names": { "limit": "X-Limit" }, "services")",
         "s.json#/header_names", "names a \"limit\" that this host would not keep"},
        {R"("services")", R"("header_names": { "warm_up": 5 }, "services")",
         "s.json#/header_names/warm_up", "is not a string"},
        {id, id + "," + id, "s.json#/host/id", "appears twice in one object"},
        {id, id + R"(, "hosts_max": 0)", "s.json#/host/hosts_max", "is 0, out of range"},
        {id, id + R"(, "memory_mb": 31)", "s.json#/host/memory_mb", "is 31, out of range"},
        {id, id + R"(, "hosts_max": 1.5)", "s.json#/host/hosts_max", "is not an integer"},
        {id, id + R"(, "hosts_max": 18446744073709551615)", "s.json#/host/hosts_max",
         "is 18446744073709551615, out of range"},
        {listen, R"("address": "localhost:8080")", "s.json#/listen/address",
         "is not an IP address with a port"},
        {listen, R"("address": "10.0.0.256:1")", "s.json#/listen/address",
         "is not an IP address with a port"},
        {listen, R"("address": "10.0.0.1:0")", "s.json#/listen/address",
         "is not an IP address with a port"},
        {listen, R"("address": "10.0.0.1:65536")", "s.json#/listen/address",
         "is not an IP address with a port"},
        {listen, listen + R"(, "body_memory_mb": 0)", "s.json#/listen/body_memory_mb",
         "is 0, out of range"},
        {listen, listen + R"(, "tls": {"certificate_file": "none.pem", "key_file": "none.pem"})",
         "s.json#/listen/tls/certificate_file", "names a file that cannot be read"},
        {R"("path_prefix": "/photos/")",
         R"("path_prefix": "/photos/", "connections_per_target": 23)", "s.json#/services",
         "has a connections_per_target below hosts_max"},
        {R"("path_prefix": "/photos/")", R"("path_prefix": "/photos/", "policy": "best")",
         "s.json#/services/1/policy", "is not a policy"},
        {R"("host_list": ["10.0.0.8:7001"])", R"("host_list": [])", "s.json#/platform/host_list",
         "is empty"},
        {R"("object_api": ["10.0.0.9:7000"])", R"("object_api": [])", "s.json#/platform/object_api",
         "is empty"},
        {R"("object_api": ["10.0.0.9:7000"])", R"("object_api": "10.0.0.9:7000")",
         "s.json#/platform/object_api", "is not an array"},
        {R"("10.0.0.9:7000")", "5", "s.json#/platform/object_api/0", "is not an address"},
        {prefix, prefix + R"(, "retry_ratio": 1.1)", "s.json#/services/1/retry_ratio",
         "is 1.1, out of range"},
        {prefix, prefix + R"(, "not_run_statuses": [503, 200])",
         "s.json#/services/1/not_run_statuses/1", "is 200, out of range"},
        {prefix, prefix + R"(, "repeatable_methods": ["G T"])",
         "s.json#/services/1/repeatable_methods", "has an element that is not a method"},
        {prefix, prefix + R"(, "hedge": 1)", "s.json#/services/1/hedge", "is not a Boolean"},
        {prefix, R"("path_prefix": "photos")", "s.json#/services/1/path_prefix", "is not a path"},
        {prefix, R"("path_prefix": "/ledger/")", "s.json#/services/1/path_prefix",
         "is the same as that of an earlier service"},
        {R"("platform":)", R"("admin": "10.0.0.1:8080", "platform":)", "s.json#/admin",
         "is the same as the address of \"listen\""},
        {R"("platform":)", R"("logging": {"level": "loud"}, "platform":)", "s.json#/logging/level",
         "is not a level"},
        {R"("platform":)", R"("a/b~c": 1, "platform":)", "s.json#/a~1b~0c", "is not a known key"},
    };
    for (const mistake& each : mistakes) {
        const auto parsed = settings::parse(text_with(each.from_, each.to_), "s.json");
        CHECK_TEXT(!parsed, each.where_.c_str());
        STRCMP_EQUAL(each.where_.c_str(), parsed.error().front().where_.c_str());
        STRCMP_EQUAL(each.what_.c_str(), parsed.error().front().what_.c_str());
        CHECK(!parsed.error().front().remedy_.empty());
        LONGS_EQUAL_TEXT(1, parsed.error().size(), each.where_.c_str());
    }
}

TEST(settings, one_pass_finds_all_errors)
{
    const auto parsed =
        settings::parse(R"({"host": {"id": 1, "id": 2}, "services": [{}], "x": 1})", "s.json");
    CHECK(!parsed);
    std::vector<std::string> places;
    for (const error& failure : parsed.error()) {
        places.push_back(failure.where_);
    }
    const std::vector<std::string> expected{"s.json#/host/id",
                                            "s.json#/host/id",
                                            "s.json#/host/data_centre",
                                            "s.json#/host/region",
                                            "s.json#/listen",
                                            "s.json#/platform",
                                            "s.json#/services/0/name",
                                            "s.json#/services/0/path_prefix",
                                            "s.json#/x"};
    CHECK(std::is_permutation(places.begin(), places.end(), expected.begin(), expected.end()));
}

TEST(settings, syntax_error_names_line_and_column)
{
    const auto parsed = settings::parse("{\n  \"host\": ?\n}", "s.json");
    LONGS_EQUAL(1, parsed.error().size());
    STRCMP_EQUAL("s.json:2:11", parsed.error().front().where_.c_str());
}

TEST(settings, text_above_the_size_limit_is_rejected)
{
    LONGS_EQUAL(1, settings::parse(std::string((1U << 20U) + 1, ' '), "s.json").error().size());
}

TEST(settings, missing_file_is_not_found)
{
    const auto loaded = settings::load("no-such-file.json");
    LONGS_EQUAL(1, loaded.error().size());
    CHECK(loaded.error().front().kind_ == error_kind::not_found);
}

TEST(settings, key_must_belong_to_the_certificate)
{
    const test::tls_identity_file one;
    const test::tls_identity_file other;
    CHECK(!settings::check_tls_files({one.certificate_file(), one.key_file()}));
    const auto mixed = settings::check_tls_files({one.certificate_file(), other.key_file()});
    CHECK(mixed.has_value());
    STRCMP_EQUAL("key_file", mixed->where_.c_str());
    const auto swapped = settings::check_tls_files({one.key_file(), one.certificate_file()});
    CHECK(swapped.has_value());
    STRCMP_EQUAL("certificate_file", swapped->where_.c_str());
}

TEST(settings, examples_of_both_users_are_valid)
{
    const auto calloway = settings::load("examples/calloway/settings.json");
    CHECK(calloway.has_value());
    LONGS_EQUAL(20, calloway->services_[0].targets_.size());
    LONGS_EQUAL(5, calloway->services_[1].targets_.size());
    const auto pernoctas = settings::load("examples/pernoctas/settings.json");
    CHECK(pernoctas.has_value());
    LONGS_EQUAL(30, pernoctas->services_[0].targets_.size());
    LONGS_EQUAL(5, pernoctas->services_[1].targets_.size());
}
