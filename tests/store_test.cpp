#include "store/blocking_call.hpp"
#include "store/call_limiter.hpp"
#include "store/http_host_list_client.hpp"
#include "store/http_object_client.hpp"
#include "store/status_record.hpp"
#include "support/fake_upstream.hpp"
#include "support/running_platform.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(status_record){};

TEST(status_record, survives_printing_and_parsing)
{
    const status_record record{
        "mobile", "mobile-1", 1764826000000, {{"mobile-1", 7, ""}, {"mobile-2", 6, "no report"}}};
    const auto parsed = parse_status_record(print(record));
    CHECK(parsed.has_value());
    CHECK(record == *parsed);
}

TEST(status_record, ignores_unknown_fields)
{
    const auto parsed = parse_status_record(
        R"({"data_centre":"m","reporter":"a","written_ms":1,"hosts":[],"later":true})");
    CHECK(parsed.has_value());
}

TEST(status_record, rejects_malformed_records)
{
    for (const char* text :
         {"", "[]", "{}", R"({"data_centre":"m","reporter":"a","written_ms":1,"hosts":[3]})",
          R"({"data_centre":"m","reporter":"a","written_ms":1,
              "hosts":[{"id":"a","held_version":-1,"behind_reason":""}]})"}) {
        CHECK_FALSE(parse_status_record(text).has_value());
    }
}

TEST_GROUP(call_limiter)
{
    random_source random_{3};
    time_point now_{};
    call_limiter limiter_ = make_call_limiter({2, milliseconds{100}, seconds{5}}, now_);
};

TEST(call_limiter, caps_calls_per_second)
{
    CHECK(admit(limiter_, now_));
    CHECK(admit(limiter_, now_));
    CHECK_FALSE(admit(limiter_, now_));
    now_ += milliseconds{500};
    CHECK(admit(limiter_, now_));
    CHECK_FALSE(admit(limiter_, now_));
}

TEST(call_limiter, backs_off_longer_after_each_failure_but_not_after_the_first)
{
    record_result(limiter_, false, now_, random_);
    CHECK(admit(limiter_, now_));
    record_result(limiter_, false, now_, random_);
    CHECK_FALSE(admit(limiter_, now_ + milliseconds{40}));
    CHECK(admit(limiter_, now_ + milliseconds{110}));
    for (int i = 0; i < 20; ++i) {
        record_result(limiter_, false, now_, random_);
    }
    CHECK_FALSE(admit(limiter_, now_ + milliseconds{2400}));
    CHECK(admit(limiter_, now_ + milliseconds{5100}));
}

TEST(call_limiter, an_answer_resets_the_failure_count)
{
    record_result(limiter_, false, now_, random_);
    record_result(limiter_, true, now_, random_);
    record_result(limiter_, false, now_, random_);
    CHECK(admit(limiter_, now_));
}

TEST_GROUP(object_client)
{
    tests::running_platform platform_{5};
    http_object_client client_{{platform_.address()}, {1000, milliseconds{1}, milliseconds{1}}, 5};

    object_reply run(operation operation, const std::string& key, const std::string& value = "",
                     std::uint64_t version = 0, duration timeout = seconds{5})
    {
        return call_and_wait(client_, {operation, key, value, version, timeout, {}});
    }
};

TEST(object_client, creates_reads_and_conditionally_updates_and_removes)
{
    CHECK(run(operation::get, "a/b c").status_ == call_status::not_found);
    const auto created = run(operation::create, "a/b c", "\"one\"\n");
    CHECK(created.status_ == call_status::ok);
    CHECK(run(operation::create, "a/b c", "two").status_ == call_status::conflict);
    const auto read = run(operation::get, "a/b c");
    CHECK_EQUAL(std::string{"\"one\"\n"}, read.objects_.at(0).value_);
    const auto version = read.objects_.at(0).version_;
    LONGS_EQUAL(created.objects_.at(0).version_, version);
    CHECK(run(operation::update, "a/b c", "three", version).status_ == call_status::ok);
    CHECK(run(operation::update, "a/b c", "four", version).status_ == call_status::conflict);
    CHECK(run(operation::remove, "a/b c", "", version).status_ == call_status::conflict);
    CHECK(run(operation::remove, "a/b c", "", version + 1).status_ == call_status::ok);
}

TEST(object_client, lists_page_by_page)
{
    for (int i = 0; i < 250; ++i) {
        run(operation::create, "status/" + std::to_string(1000 + i), "v");
    }
    run(operation::create, "other", "v");
    const auto all = run(operation::list, "status/");
    LONGS_EQUAL(250, all.objects_.size());
    CHECK_EQUAL(std::string{"status/1249"}, all.objects_.back().key_);
    LONGS_EQUAL(3, platform_.counters()["calls"]["list"].get<int>());
}

TEST(object_client, accepts_a_value_of_one_megabyte_and_rejects_a_larger_one)
{
    const std::string value(1'000'000, '"');
    CHECK(run(operation::create, "a", value).status_ == call_status::ok);
    CHECK(run(operation::get, "a").objects_.at(0).value_ == value);
    CHECK(run(operation::create, "b", value + "x").status_ == call_status::rejected);
}

TEST(object_client, a_lost_answer_is_unknown_and_the_call_is_not_retried)
{
    platform_.change(R"({"object_api": {"lose_answer": 1}})");
    CHECK(run(operation::create, "a", "one").status_ == call_status::unknown);
    LONGS_EQUAL(1, platform_.counters()["calls"]["create"].get<int>());
    CHECK_EQUAL(std::string{"one"}, run(operation::get, "a").objects_.at(0).value_);
}

TEST(object_client, a_broken_answer_is_unknown)
{
    for (const char* head : {"000 X", "099 X", "600 X", "101 X", "200 OK\r\nX Y: 1"}) {
        testing::fake_upstream broken{[&](testing::script_connection& connection, int) {
            connection.read_request();
            connection.send(std::string{"HTTP/1.1 "} + head + "\r\nContent-Length: 2\r\n\r\n{}");
            connection.wait_for_close();
        }};
        http_object_client client{
            {{"127.0.0.1", broken.port()}}, {1000, milliseconds{1}, milliseconds{1}}, 5};
        const auto reply =
            call_and_wait(client, {operation::create, "a", "one", 0, milliseconds{500}, {}});
        CHECK_TEXT(reply.status_ == call_status::unknown, head);
    }
}

// Of another writer, alone on its page or between others.
TEST(object_client, an_object_that_cannot_be_read_hides_the_others_of_a_list)
{
    for (const char* odd :
         {R"({"value":"v","version":3})", R"({"key":7,"value":"v","version":3})",
          R"({"key":"status/x","value":"v"})", R"({"key":"status/x","value":"v","version":"r3"})",
          R"({"key":"status/x","value":"v","version":-3})",
          R"({"key":"status/x","value":["v"],"version":3})",
          "{\"key\":\"status/x\",\"value\":\"\xff\",\"version\":3}",
          "{\"key\":\"status/x\xff\",\"value\":\"v\",\"version\":3}", "7", "null", "[]"}) {
        testing::fake_upstream store{[&](testing::script_connection& connection, int) {
            const auto object = [](const char* key) {
                return std::string{R"({"key":"status/)"} + key + R"(","value":"v","version":2})";
            };
            for (std::string request = connection.read_request(); !request.empty();
                 request = connection.read_request()) {
                const bool lists = request.find("prefix=") != std::string::npos;
                std::string page;
                if (lists && request.find("after= ") != std::string::npos) {
                    page = object("a") + "," + odd + "," + object("y") + R"(],"next":"status/y")";
                }
                else if (lists && request.find("after=status/y ") != std::string::npos) {
                    page = odd + std::string{"],\"next\":\"status/y\xff\""};
                }
                else if (lists && request.find("after=status/y%FF ") != std::string::npos) {
                    page = object("z") + "]";
                }
                else {
                    page = odd + std::string{"]"};
                }
                connection.send(testing::ok_answer("{\"objects\":[" + page + "}"));
            }
        }};
        http_object_client client{
            {{"127.0.0.1", store.port()}}, {1000, milliseconds{1}, milliseconds{1}}, 5};
        const auto all = call_and_wait(client, {operation::list, "status/", "", 0, seconds{5}, {}});
        CHECK_TEXT(all.status_ == call_status::ok, odd);
        LONGS_EQUAL_TEXT(3, all.objects_.size(), odd);
        LONGS_EQUAL_TEXT(2, all.unreadable_, odd);
        CHECK_EQUAL(std::string{"status/z"}, all.objects_.back().key_);
        const auto one = call_and_wait(client, {operation::get, "status/x", "", 0, seconds{5}, {}});
        CHECK_TEXT(one.status_ == call_status::unknown, odd);
    }
}

TEST(object_client, a_call_without_a_connection_is_not_sent)
{
    platform_.change(R"({"down": true})");
    CHECK(run(operation::create, "a", "one").status_ == call_status::not_sent);
    platform_.change(R"({"down": false})");
    CHECK(run(operation::get, "a").status_ == call_status::not_found);
}

TEST(object_client, a_refused_call_is_unavailable)
{
    platform_.change(R"({"object_api": {"refuse": true}})");
    CHECK(run(operation::get, "a").status_ == call_status::unavailable);
}

TEST(object_client, a_write_that_times_out_is_unknown)
{
    platform_.change(R"({"object_api": {"delay_ms": 60000}})");
    CHECK(run(operation::create, "a", "one", 0, milliseconds{200}).status_ == call_status::unknown);
}

TEST(object_client, a_watch_returns_a_change_or_no_object)
{
    const auto version = run(operation::create, "a", "one").objects_.at(0).version_;
    const auto none = run(operation::watch, "a", "", version, milliseconds{400});
    CHECK(none.status_ == call_status::ok);
    CHECK(none.objects_.empty());
    std::promise<object_reply> received;
    client_.submit({operation::watch, "a", "", version, seconds{20},
                    [&](object_reply reply) { received.set_value(std::move(reply)); }});
    run(operation::update, "a", "two", version);
    CHECK_EQUAL(std::string{"two"}, received.get_future().get().objects_.at(0).value_);
}

TEST(object_client, a_watch_without_an_answer_is_unknown_while_reads_succeed)
{
    platform_.change(R"({"object_api": {"silent_watch": true}})");
    const auto version = run(operation::create, "a", "one").objects_.at(0).version_;
    CHECK(run(operation::watch, "a", "", version, milliseconds{300}).status_ ==
          call_status::unknown);
    CHECK(run(operation::get, "a").status_ == call_status::ok);
}

TEST(object_client, a_call_over_the_rate_limit_is_not_sent)
{
    http_object_client capped{{platform_.address()}, {1, milliseconds{1}, milliseconds{1}}, 5};
    const object_call read{operation::get, "a", "", 0, seconds{5}, {}};
    CHECK(call_and_wait(capped, read).status_ == call_status::not_found);
    CHECK(call_and_wait(capped, read).status_ == call_status::not_sent);
    LONGS_EQUAL(1, platform_.counters()["calls"]["get"].get<int>());
}

TEST(object_client, destruction_ends_open_calls)
{
    object_reply reply{call_status::ok, {}};
    {
        http_object_client ending{{platform_.address()}, {}, 5};
        ending.submit({operation::watch, "a", "", 9, seconds{60},
                       [&](object_reply answer) { reply = std::move(answer); }});
    }
    CHECK(reply.status_ == call_status::unknown || reply.status_ == call_status::not_sent);
}

TEST_GROUP(host_list_client)
{
    tests::running_platform platform_{5};
    http_host_list_client client_{{platform_.address()}};
};

TEST(host_list_client, reads_hosts_and_skips_unknown_kinds)
{
    platform_.change(R"({"hosts": [
        {"id": "e1", "kind": "entry", "data_centre": "mobile", "ip": "127.0.0.1", "port": 7,
         "incarnation": 3, "leaving": true, "rack": "r1"},
        {"id": "x", "kind": "cache"}]})");
    const auto reply = fetch_and_wait(client_, seconds{5});
    CHECK(reply.status_ == call_status::ok);
    LONGS_EQUAL(1, reply.hosts_.size());
    const listed_host expected{"e1", host_kind::entry, "", "mobile", {"127.0.0.1", 7}, 3, true};
    CHECK(reply.hosts_.at(0) == expected);
}

TEST(host_list_client, a_host_that_cannot_be_read_hides_the_others)
{
    const std::string sound = R"({"id":"e1","kind":"entry","data_centre":"m","ip":"127.0.0.1",)"
                              R"("port":7,"incarnation":3,"leaving":false})";
    const auto with = [&](const std::string& from, const std::string& to) {
        return std::string{sound}.replace(sound.find(from), from.size(), to);
    };
    for (const std::string& odd :
         {with("\"e1\"", "\"e\xff\""), with("\"e1\"", "7"), with(R"("ip":"127.0.0.1",)", ""),
          with("\"entry\"", "null"), with(":7,", R"(:"7",)"), with(":7,", ":65543,"),
          with(":7,", ":0,"), with(":7,", ":-1,"), with(":3,", ":-3,"), with(":3,", ":3.5,"),
          with("false", "0"), std::string{"7"}, std::string{"null"}, std::string{"[]"}}) {
        const testing::fake_upstream platform{[&](testing::script_connection& connection, int) {
            connection.read_request();
            connection.send(
                testing::ok_answer("{\"hosts\":[" + odd + "," + sound + "," + odd + "]}"));
        }};
        http_host_list_client client{{{"127.0.0.1", platform.port()}}};
        const auto reply = fetch_and_wait(client, seconds{5});
        CHECK_TEXT(reply.status_ == call_status::ok, odd.c_str());
        LONGS_EQUAL_TEXT(1, reply.hosts_.size(), odd.c_str());
        CHECK_EQUAL(std::string{"e1"}, reply.hosts_.front().id_);
    }
}

TEST(host_list_client, returns_an_older_list_while_the_platform_lags)
{
    platform_.change(R"({"host_lag_ms": 3600000})");
    platform_.change(R"({"hosts": [{"id": "e1", "kind": "entry", "data_centre": "mobile",
        "ip": "127.0.0.1", "port": 7, "incarnation": 3, "leaving": false}]})");
    CHECK(fetch_and_wait(client_, seconds{5}).hosts_.empty());
}

TEST(host_list_client, reports_why_there_is_no_list)
{
    platform_.change(R"({"hosts_refuse": true})");
    CHECK(fetch_and_wait(client_, seconds{5}).status_ == call_status::unavailable);
    platform_.change(R"({"hosts_refuse": false, "hosts": [{"kind": "entry"}]})");
    CHECK(fetch_and_wait(client_, seconds{5}).status_ == call_status::unknown);
    platform_.change(R"({"down": true})");
    CHECK(fetch_and_wait(client_, seconds{5}).status_ == call_status::not_sent);
}
