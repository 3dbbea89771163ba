// What a host says that it would do with a request, without sending it.

#include "http/explanation.hpp"
#include "routing/explanation.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

TEST_GROUP(explanation){};

TEST(explanation, the_question_survives_its_encoding)
{
    const http::explained_request asked{"a.example:80", "/look/a b?c=d&e=%", "Siop & Ll\xc5\xb7n"};
    CHECK(http::read_explain_path(http::write_explain_path(asked)) == asked);
    for (const char* odd :
         {"/explain?path=%", "/explain?path=%4", "/explain?path=%zz", "/grant?"}) {
        CHECK_TEXT(!http::read_explain_path(odd), odd);
    }
    CHECK(!http::read_explain_path("/explain?path=" + std::string(9000, 'a')));
}

TEST(explanation, targets_come_with_the_reason_against_them)
{
    const time_point now = time_point{} + 100s;
    auto view = routing::make_view({}, "near", routing::policy::probed);
    std::vector<routing::target_info> infos{
        {{"10.0.0.1", 1}, "near"}, {{"10.0.0.1", 2}, "near"}, {{"10.0.0.1", 3}, "near"}};
    infos[0].leaving_ = true;
    routing::update_targets(view, infos, now);
    view.targets_[1].in_flight_ = 2;
    view.targets_[2].load_ = {1, 1, now - 200ms};
    const auto all = routing::explain_targets(view, now);
    LONGS_EQUAL(3, all.size());
    CHECK(all[0].why_not_.empty() && all[1].why_not_.empty());
    CHECK(all[2].target_ == 0 && all[2].why_not_ == "leaving");
    LONGS_EQUAL(1, all[0].is_expected_ + all[1].is_expected_);
    CHECK(all[1].report_age_ == 200ms);
}

TEST(explanation, a_running_host_names_the_check_that_refuses_and_sends_nothing)
{
    int requests = 0;
    scripted_store store;
    fake_upstream target{[&](script_connection& connection, int) {
        while (!connection.read_request().empty()) {
            ++requests;
        }
    }};
    auto state = state_json(1, {route_json("look", "/look/", "safe", "ledger")});
    state["tenants"] = {{{"name", "kaje"}, {"api_keys", {"k"}}, {"priority", 7}}};
    store.put("config", "main", state);
    store.put("servers", "i-1", server_json(target.port()));
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 1));
    const auto words = [&](const http::explained_request& asked) {
        std::string text;
        host.run([&](http::http_task& task) {
            text = http::describe_explanation(http::explain(task, asked)).value_or("");
        });
        return text;
    };
    CHECK(words({"a.example", "/none/", "kaje"}).find("404") != std::string::npos);
    CHECK(words({"a.example", "/look/1", ""}).find("401") != std::string::npos);
    CHECK(words({"a.example", "/look/1", "other"}).find("401") != std::string::npos);
    const std::string served = words({"a.example", "/look/1", "kaje"});
    CHECK(served.find("refused") == std::string::npos);
    CHECK(served.find("priority 7") != std::string::npos);
    CHECK(served.find("expected, by earlier reports") != std::string::npos);
    CHECK(!http::describe_explanation("no JSON"));
    LONGS_EQUAL(0, requests);
}
