// Several entry hosts and callers of organisations that have an allotment, over real sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

TEST_GROUP(allotment_hosts)
{
    scripted_store store;
    std::atomic<int> ran = 0;
    std::unique_ptr<fake_upstream> target;
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    static nlohmann::json state(std::uint64_t version, double per_second, double burst)
    {
        auto made = state_json(version, {route_json("look", "/look/", "safe", "ledger")});
        made["tenants"] = {{{"name", "kaje"},
                            {"api_keys", {"key-a"}},
                            {"rate_per_s", per_second},
                            {"burst", burst}},
                           {{"name", "free"}, {"api_keys", {"key-b"}}}};
        return made;
    }

    void start(int count, int granters)
    {
        target = std::make_unique<fake_upstream>([this](script_connection& connection, int) {
            while (true) {
                const std::string request = connection.read_request();
                if (request.empty()) {
                    return;
                }
                if (request.starts_with("GET /health ")) {
                    connection.send(ok_answer("", "X-Load: 0,0,200,1\r\n"));
                    continue;
                }
                ++ran;
                connection.send(ok_answer(
                    "done", fmt::format("X-Id: {}\r\nX-Seal: s\r\n", field_of(request, "X-Id"))));
            }
        });
        store.put("servers", "i-1", server_json(target->port()));
        for (int i = 0; i < count; ++i) {
            auto config = directory_settings(store.port());
            config.host_.id_ = fmt::format("host-{}", i);
            config.directory_->allotments_ = {settings::seconds{5}, 0, 0};
            config.directory_->feed_ = settings::directory_feed{feed_address(i), {}, 30ms, {}};
            for (int each = 0; each < granters; ++each) {
                config.directory_->feed_->hosts_.push_back(feed_address(each));
            }
            hosts.push_back(std::make_unique<running_routed_host>(std::move(config)));
        }
        for (const auto& host : hosts) {
            CHECK(host->reaches(1, 1));
        }
    }

    std::string call(std::size_t host, const char* key = "key-a")
    {
        test_client caller{hosts[host]->port()};
        caller.send(fmt::format("GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n"
                                "Authorization: Token {}\r\n\r\n",
                                key));
        return caller.read_answer();
    }

    // Sends to the hosts in turn; returns the number of answers with 200.
    int send_to_all(duration time, duration interval)
    {
        int served = 0;
        const time_point end = monotonic_now() + time;
        for (std::size_t i = 0; monotonic_now() < end; ++i) {
            served += call(i % hosts.size()).starts_with("HTTP/1.1 200") ? 1 : 0;
            std::this_thread::sleep_for(interval);
        }
        return served;
    }
};

TEST(allotment_hosts, a_request_over_the_allotment_does_not_run_and_is_told_when_to_return)
{
    store.put("config", "main", state(1, 1, 1));
    start(1, 1);
    std::string refused;
    int sent = 0;
    while (!refused.starts_with("HTTP/1.1 429") && sent < 10) {
        refused = call(0);
        ++sent;
    }
    CHECK_TEXT(refused.starts_with("HTTP/1.1 429"), refused.c_str());
    CHECK(field_of(refused, "Savoryscale-Outcome") == "not-run");
    const double wait = std::atof(field_of(refused, "Retry-After").c_str());
    CHECK(wait > 0 && wait <= 11.1);
    CHECK_EQUAL(sent - 1, ran.load());
    CHECK(call(0, "key-b").starts_with("HTTP/1.1 200"));
}

TEST(allotment_hosts, three_hosts_together_keep_to_one_allotment)
{
    store.put("config", "main", state(1, 10, 5));
    start(3, 2);
    const int served = send_to_all(3s, 10ms);
    CHECK(served <= 10 * 3 + 5 + 2);
    CHECK(served >= 10 * 3 * 8 / 10);
    store.put("config", "main", state(2, 100, 50));
    for (const auto& host : hosts) {
        CHECK(host->reaches(2, 1));
    }
    std::this_thread::sleep_for(1s);
    CHECK(send_to_all(1s, 20ms) >= 30);
}

// The first granter ends; the second one goes on.
TEST(allotment_hosts, a_lost_granter_costs_a_part_of_the_allotment_for_seconds_only)
{
    store.put("config", "main", state(1, 20, 20));
    start(3, 2);
    CHECK(send_to_all(1s, 50ms) > 0);
    const bool is_first = feed_address(0).port_ < feed_address(1).port_;
    hosts.erase(hosts.begin() + (is_first ? 0 : 1));
    send_to_all(2s, 50ms);
    const int served = send_to_all(3s, 50ms);
    CHECK(served >= 3 * 20 * 2 / 3 * 8 / 10);
}
