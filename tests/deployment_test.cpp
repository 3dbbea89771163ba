// Settings that come from the platform's fields of a deployment, which may lack any of them.

#include "platform/deployment.hpp"
#include "settings/deployment.hpp"
#include "settings/parse.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using nlohmann::json;

namespace {

// Every field that is read, with the values of a deployment of organisations.
const json every_field = json::parse(R"({
    "limits": {"memory_mb": 160, "cores": 1},
    "bounds": {"drain_s": 2.5, "grace_s": 6, "evacuation_s": 5, "fail_closed": true, "revoke_s": 4,
               "quota_window_s": 7, "quota_overage": 0.1, "quota_slack": 20, "cold_overage": 1.5,
               "cold_slack": 8, "retry_budget_ratio": 0.25, "retry_budget_slack": 192,
               "probes_per_s": 42, "ack_s": 5}})");

} // namespace

TEST_GROUP(deployment){void setup()
                           override{settings::install_deployment_reader(platform::read_deployment);
}

void teardown() override
{
    settings::install_deployment_reader(nullptr);
}

static validated<settings::settings> parse(const json& deployment,
                                           const json& directory = {{"store", "127.0.0.2:1"}})
{
    const json file{{"host", {{"id", "h"}, {"data_centre", "a"}, {"region", "r"}}},
                    {"listen", {{"address", "127.0.0.1:1"}}},
                    {"ready", {{"address", "127.0.0.1:2"}}},
                    {"directory", directory},
                    {"deployment", deployment}};
    return settings::parse(file.dump(), "s.json");
}
}
;

TEST(deployment, each_field_gives_its_setting)
{
    const auto parsed = parse(every_field);
    CHECK(parsed.has_value());
    const settings::directory& followed = *parsed->directory_;
    LONGS_EQUAL(160, parsed->host_.memory_mb_);
    DOUBLES_EQUAL(6, parsed->listen_.grace_.count(), 0);
    DOUBLES_EQUAL(2.5, followed.drain_.count(), 0);
    DOUBLES_EQUAL(5, followed.evacuation_.count(), 0);
    DOUBLES_EQUAL(4, followed.keys_age_max_.count(), 0);
    DOUBLES_EQUAL(7, followed.allotments_.window_.count(), 0);
    DOUBLES_EQUAL(0.1, followed.allotments_.overage_, 0);
    DOUBLES_EQUAL(20, followed.allotments_.slack_, 0);
    DOUBLES_EQUAL(1.5, followed.cold_.overage_, 0);
    DOUBLES_EQUAL(8, followed.cold_.slack_, 0);
    DOUBLES_EQUAL(0.25, followed.retry_ratio_, 0);
    DOUBLES_EQUAL(192, followed.retry_slack_, 0);
    DOUBLES_EQUAL(42, followed.probes_per_target_, 0);
}

TEST(deployment, an_absent_field_leaves_the_default)
{
    const settings::directory defaults;
    for (const json& deployment :
         {json::object(), json::parse(R"({"bounds": {"drain_s": null}})")}) {
        const auto parsed = parse(deployment);
        CHECK(parsed.has_value());
        LONGS_EQUAL(0, parsed->host_.memory_mb_);
        DOUBLES_EQUAL(defaults.drain_.count(), parsed->directory_->drain_.count(), 0);
        DOUBLES_EQUAL(0, parsed->directory_->evacuation_.count(), 0);
    }
}

TEST(deployment, old_keys_admit_callers_unless_the_deployment_fails_closed)
{
    json deployment = every_field;
    deployment["bounds"]["fail_closed"] = false;
    DOUBLES_EQUAL(0, parse(deployment)->directory_->keys_age_max_.count(), 0);
    deployment["bounds"].erase("fail_closed");
    DOUBLES_EQUAL(0, parse(deployment)->directory_->keys_age_max_.count(), 0);
}

TEST(deployment, a_setting_of_the_file_has_precedence)
{
    const auto parsed = parse(every_field, {{"store", "127.0.0.2:1"}, {"drain_s", 1}});
    DOUBLES_EQUAL(1, parsed->directory_->drain_.count(), 0);
    DOUBLES_EQUAL(5, parsed->directory_->evacuation_.count(), 0);
}

TEST(deployment, a_field_of_another_type_is_an_error_at_its_setting)
{
    const auto parsed = parse(json::parse(R"({"bounds": {"drain_s": "two"}})"));
    CHECK(!parsed);
    STRCMP_EQUAL("s.json#/directory/drain_s", parsed.error().front().where_.c_str());
}

TEST(deployment, fields_that_are_no_table_are_refused)
{
    const auto parsed = parse("all");
    CHECK(!parsed);
    STRCMP_EQUAL("s.json#/deployment", parsed.error().front().where_.c_str());
}
