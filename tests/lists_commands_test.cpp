#include "cli/command.hpp"
#include "cli/lists_commands.hpp"
#include "store/blocking_call.hpp"
#include "store/http_host_list_client.hpp"
#include "store/http_object_client.hpp"
#include "store/status_view.hpp"
#include "support/running_platform.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace savoryscale;
using namespace savoryscale::cli;
using std::chrono::seconds;

namespace {

constexpr std::int64_t now_ms = 1764826000000;

constexpr const char* first_lists = R"({"customers": {"a": "low"}, "plans": {
    "low": {"ledger": {"calls_per_second": 1, "burst_calls": 2, "concurrency": 3}},
    "high": {"ledger": {"calls_per_second": 9, "burst_calls": 9, "concurrency": 9}}}})";

} // namespace

TEST_GROUP(lists_commands)
{
    tests::running_platform platform_{5};
    store::http_object_client objects_{
        {platform_.address()},
        {1000, std::chrono::milliseconds{1}, std::chrono::milliseconds{1}},
        5};
    store::http_host_list_client hosts_{{platform_.address()}};
    std::ostringstream out_;
    std::ostringstream err_;
    platform_access access_{objects_,         hosts_,          seconds{5},
                            random_source{5}, [](duration) {}, [] { return now_ms; }};

    int apply(const std::string& text, bool dry_run = false)
    {
        out_.str("");
        err_.str("");
        return apply_lists(access_, plans::parse_edited_file(text, "f").value(), dry_run, out_,
                           err_);
    }
    std::string pull()
    {
        std::ostringstream text;
        LONGS_EQUAL(exit_ok, pull_lists(access_, text, err_));
        return text.str();
    }
    static std::string edited(std::string text, const std::string& from, const std::string& to)
    {
        return text.replace(text.find(from), from.size(), to);
    }
    void report(const std::string& data_centre, std::int64_t written_ms,
                std::vector<store::host_version_report> hosts)
    {
        const store::status_record record{data_centre, "r", written_ms, std::move(hosts)};
        call_and_wait(objects_, {store::operation::create,
                                 store::status_key(data_centre),
                                 print(record),
                                 0,
                                 seconds{5},
                                 {}});
    }
    void list_hosts(const std::vector<std::string>& ids)
    {
        auto hosts = nlohmann::json::array();
        for (const std::string& id : ids) {
            hosts.push_back({{"id", id},
                             {"kind", "entry"},
                             {"data_centre", "m"},
                             {"ip", "127.0.0.1"},
                             {"port", 1},
                             {"incarnation", 1},
                             {"leaving", false}});
        }
        platform_.change(nlohmann::json{{"hosts", hosts}}.dump());
    }
    int status(bool as_json = false)
    {
        out_.str("");
        return show_status(access_, {}, as_json, out_, err_);
    }
};

TEST(lists_commands, outcomes_and_exit_codes)
{
    LONGS_EQUAL(exit_ok, apply(first_lists, true));
    LONGS_EQUAL(0, platform_.counters()["writes"].get<int>());
    LONGS_EQUAL(exit_ok, apply(first_lists));
    STRCMP_CONTAINS("applied: version 1", out_.str().c_str());
    LONGS_EQUAL(exit_ok, apply(first_lists));
    STRCMP_CONTAINS("already in force: version 1", out_.str().c_str());

    const std::string file = edited(pull(), R"("a": "low")", R"("a": "high")");
    LONGS_EQUAL(exit_ok, apply(file));
    LONGS_EQUAL(exit_ok, apply(edited(pull(), R"("a": "high")", R"("a": "low")")));
    LONGS_EQUAL(exit_refused, apply(file));
    STRCMP_CONTAINS("refused: stale", out_.str().c_str());
    STRCMP_CONTAINS("/customers/a: was set by another change at version 3", err_.str().c_str());
    STRCMP_CONTAINS("pull the lists again", err_.str().c_str());

    LONGS_EQUAL(exit_refused, apply(R"({"customers": {"a": "mid"}, "plans": {"mid": {}}})"));
    STRCMP_CONTAINS("refused: conflict", out_.str().c_str());
}

TEST(lists_commands, a_lost_response_causes_no_second_write)
{
    platform_.change(R"({"object_api": {"lose_answer": 1}})");
    LONGS_EQUAL(exit_ok, apply(first_lists));
    STRCMP_CONTAINS("applied: version 1", out_.str().c_str());
    LONGS_EQUAL(1, platform_.counters()["writes"].get<int>());
}

TEST(lists_commands, a_lost_write_has_an_unknown_outcome)
{
    platform_.change(R"({"object_api": {"lose_request": 1}})");
    LONGS_EQUAL(exit_unknown, apply(first_lists));
    STRCMP_CONTAINS("unknown: ", out_.str().c_str());
    STRCMP_CONTAINS("run the same apply again", out_.str().c_str());
    LONGS_EQUAL(1, platform_.counters()["calls"]["create"].get<int>());
}

TEST(lists_commands, commands_exit_unknown_while_the_store_is_down)
{
    platform_.change(R"({"down": true})");
    LONGS_EQUAL(exit_unknown, apply(first_lists));
    LONGS_EQUAL(exit_unknown, pull_lists(access_, out_, err_));
    LONGS_EQUAL(exit_unknown, status());
}

TEST(lists_commands, status_is_ok_only_when_every_listed_host_holds_the_lists)
{
    LONGS_EQUAL(exit_failure, status());
    apply(first_lists);
    list_hosts({"e1", "e2"});
    LONGS_EQUAL(exit_failure, status());
    report("m", now_ms, {{"e1", 1, ""}});
    LONGS_EQUAL(exit_failure, status());
    STRCMP_CONTAINS("m: 1 of 2 hosts hold it", out_.str().c_str());
    STRCMP_CONTAINS("e2 is at version 0: no report names it", out_.str().c_str());
    report("n", now_ms, {{"e2", 1, ""}});
    LONGS_EQUAL(exit_ok, status(true));
    CHECK(nlohmann::json::parse(out_.str())["all_hold"].get<bool>());
}

// Nobody knows what a host holds whose entry cannot be read; the others are shown.
TEST(lists_commands, status_is_ok_while_a_listed_host_cannot_be_read)
{
    apply(first_lists);
    report("m", now_ms, {{"e1", 1, ""}});
    platform_.change(R"({"hosts": [{"id": "odd", "kind": "entry"},
        {"id": "e1", "kind": "entry", "data_centre": "m", "ip": "127.0.0.1", "port": 1,
         "incarnation": 1, "leaving": false}]})");
    LONGS_EQUAL(exit_failure, status());
    STRCMP_CONTAINS("m: 1 of 1 hosts hold it", out_.str().c_str());
    STRCMP_CONTAINS("host list: 1 hosts cannot be read", err_.str().c_str());
    list_hosts({"e1"});
    LONGS_EQUAL(exit_ok, status());
}

TEST_GROUP(status_view)
{
    const std::vector<store::listed_host> hosts_{
        {"e1", store::host_kind::entry, "", "m", {"127.0.0.1", 1}, 1, false}};

    bool all_hold(std::int64_t written_ms, std::vector<store::host_version_report> held) const
    {
        return store::make_status_view(7, hosts_, {{"m", "r", written_ms, std::move(held)}}, now_ms)
            .all_hold_;
    }
};

TEST(status_view, a_report_with_an_old_or_future_time_is_ignored)
{
    CHECK(all_hold(now_ms - 14000, {{"e1", 7, ""}}));
    CHECK_FALSE(all_hold(now_ms - 16000, {{"e1", 7, ""}}));
    CHECK_FALSE(all_hold(now_ms + 16000, {{"e1", 7, ""}}));
}

TEST(status_view, a_host_with_another_version_does_not_hold_the_lists)
{
    CHECK_FALSE(all_hold(now_ms, {{"e1", 6, ""}}));
    CHECK_FALSE(all_hold(now_ms, {{"e1", 8, ""}}));
}

TEST(status_view, a_reporting_host_missing_from_the_host_list_counts)
{
    CHECK_FALSE(all_hold(now_ms, {{"e1", 7, ""}, {"new", 6, ""}}));
}

TEST(status_view, nothing_is_held_without_lists_or_hosts)
{
    CHECK_FALSE(store::make_status_view(0, hosts_, {{"m", "r", now_ms, {{"e1", 0, ""}}}}, now_ms)
                    .all_hold_);
    CHECK_FALSE(store::make_status_view(7, {}, {}, now_ms).all_hold_);
}
