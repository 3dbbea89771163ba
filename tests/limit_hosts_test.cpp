// Several entry hosts and a target that names a limit, over real sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

// Names a limit in all its answers, and records when requests arrive.
class limited_target {
public:
    explicit limited_target(std::string limit)
        : limit_{std::move(limit)}, server_{[this](script_connection& connection, int) {
              serve(connection);
          }}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    void name_limit(std::string limit)
    {
        const std::lock_guard lock{mutex_};
        limit_ = std::move(limit);
    }

    std::vector<time_point> arrivals()
    {
        const std::lock_guard lock{mutex_};
        return arrivals_;
    }

private:
    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            const std::string limit = limit_field();
            if (request.starts_with("GET /health ")) {
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n" + limit));
                continue;
            }
            {
                const std::lock_guard lock{mutex_};
                arrivals_.push_back(monotonic_now());
            }
            connection.send(ok_answer("done", fmt::format("X-Id: {}\r\nX-Seal: s\r\n{}",
                                                          field_of(request, "X-Id"), limit)));
        }
    }

    std::string limit_field()
    {
        const std::lock_guard lock{mutex_};
        return limit_.empty() ? std::string{} : fmt::format("X-Limit: {}\r\n", limit_);
    }

    std::string limit_;
    std::mutex mutex_;
    std::vector<time_point> arrivals_;
    fake_upstream server_; // last: its threads use the members above
};

std::size_t most_in(const std::vector<time_point>& arrivals, duration window)
{
    std::size_t most = 0;
    std::deque<time_point> recent;
    for (const time_point arrival : arrivals) {
        recent.push_back(arrival);
        while (arrival - recent.front() >= window) {
            recent.pop_front();
        }
        most = std::max(most, recent.size());
    }
    return most;
}

} // namespace

TEST_GROUP(limit_hosts)
{
    scripted_store store;
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    void start_hosts(int count)
    {
        auto urgent = route_json("sell", "/sell/", "safe", "ledger");
        urgent["priority"] = 0;
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger"), urgent}));
        for (int i = 0; i < count; ++i) {
            settings::settings config = directory_settings(store.port());
            config.host_.id_ = fmt::format("host-{}", i);
            config.directory_->drain_ = settings::seconds{2};
            config.header_names_.limit_ = "X-Limit";
            settings::directory_feed feed{feed_address(i), {}, 30ms, {}};
            for (int each = 0; each < count; ++each) {
                feed.hosts_.push_back(feed_address(each));
            }
            config.directory_->feed_ = feed;
            hosts.push_back(std::make_unique<running_routed_host>(std::move(config)));
        }
    }

    // Sends a request to each host in turn every 15 ms, and returns the answers.
    std::vector<std::string> send_for(duration time)
    {
        std::vector<std::string> answers;
        const time_point end = monotonic_now() + time;
        for (std::size_t i = 0; monotonic_now() < end; ++i) {
            test_client caller{hosts[i % hosts.size()]->port()};
            caller.send(fmt::format("GET /{}/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n\r\n",
                                    i % 2 == 0 ? "look" : "sell", i));
            answers.push_back(caller.read_answer());
            std::this_thread::sleep_for(15ms);
        }
        return answers;
    }
};

TEST(limit_hosts, hosts_together_send_more_requests_than_a_target_takes)
{
    limited_target target{"2"};
    store.put("servers", "i-1", server_json(target.port()));
    start_hosts(3);
    for (auto& host : hosts) {
        CHECK(host->reaches(1, 1));
    }
    const auto answers = send_for(6s);
    // One and a half times the limit of 2 a second over 4 s, and 5 more.
    CHECK(most_in(target.arrivals(), 4s) <= 17);
    CHECK(target.arrivals().size() >= 5);
    for (const std::string& answer : answers) {
        CHECK_TEXT(
            answer.find("done") != std::string::npos ||
                (answer.starts_with("HTTP/1.1 503") && !field_of(answer, "Retry-After").empty()),
            answer.c_str());
    }
}

TEST(limit_hosts, a_host_crashes_while_it_asks_for_grants)
{
    std::vector<std::unique_ptr<limited_target>> targets;
    for (const char* limit : {"1", "1", "3", "2"}) {
        targets.push_back(std::make_unique<limited_target>(limit));
        const std::uint16_t port = targets.back()->port();
        store.put("servers", fmt::format("i-{}", port), server_json(port));
    }
    start_hosts(3);
    for (auto& host : hosts) {
        CHECK(host->reaches(1, targets.size()));
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([this] { send_for(2s); });
    }
    std::this_thread::sleep_for(1s);
    hosts.front()->run([](http::http_task& task) {
        task.grants().set_granters(std::vector{feed_address(0), feed_address(2)}, feed_address(0));
    });
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (auto& host : hosts) {
        CHECK(host->reaches(1, targets.size()));
    }
}

TEST(limit_hosts, a_host_asks_without_end_for_a_grant_left_to_an_urgent_request)
{
    limited_target target{"4"};
    store.put("servers", "i-1", server_json(target.port()));
    start_hosts(1);
    CHECK(hosts.front()->reaches(1, 1));
    const auto send = [&](const std::string& path) {
        test_client caller{hosts.front()->port()};
        caller.send(fmt::format("GET /{}/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n", path));
        return caller.read_answer();
    };
    std::string answer;
    for (int i = 0; i < 20 && !answer.starts_with("HTTP/1.1 503"); ++i) {
        answer = send("sell");
    }
    CHECK(answer.starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(300ms);
    CHECK(send("look").starts_with("HTTP/1.1 503"));
    CHECK(send("sell").find("done") != std::string::npos);
}

TEST(limit_hosts, a_limit_that_was_withdrawn_stays_in_force)
{
    limited_target target{"0.1"};
    store.put("servers", "i-1", server_json(target.port()));
    start_hosts(3);
    for (auto& host : hosts) {
        CHECK(host->reaches(1, 1));
    }
    send_for(1s);
    target.name_limit("");
    send_for(2s);
    for (const std::string& answer : send_for(500ms)) {
        CHECK_TEXT(answer.find("done") != std::string::npos, answer.c_str());
    }
}
