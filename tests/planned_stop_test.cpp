// Requests that come late in a planned stop that ends the process (operators' report: they were
// passed on and then cut off without an answer), and requests that were sent ahead.

#include "cli/routed_host.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr auto work = 300ms;
constexpr auto grace = 2000ms;

std::string commit_head(int id)
{
    return fmt::format("POST /sell/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n", id);
}

std::string commit(int id)
{
    return commit_head(id) + "Content-Length: 4\r\n\r\nsold";
}

// Answers after `work`, or never, and keeps the time that each request leaves it.
class slow_target {
public:
    explicit slow_target(bool is_silent = false)
        : is_silent_{is_silent}, server_{[this](script_connection& connection, int) {
              serve(connection);
          }}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] int requests() const { return requests_; }

    // What the host has told of the request with this id.
    std::chrono::milliseconds told(int id)
    {
        const std::lock_guard lock{mutex_};
        return std::chrono::milliseconds{std::atoi(told_[std::to_string(id)].c_str())};
    }

private:
    void serve(script_connection& connection)
    {
        for (std::string request; !(request = connection.read_request()).empty();) {
            if (request.starts_with("GET /health ")) {
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                continue;
            }
            ++requests_;
            const std::string id = field_of(request, "X-Id");
            {
                const std::lock_guard lock{mutex_};
                told_[id] = field_of(request, "X-Deadline-Ms");
            }
            if (is_silent_) {
                connection.wait_for_close();
                return;
            }
            std::this_thread::sleep_for(work);
            connection.send(ok_answer("done", fmt::format("X-Id: {}\r\nX-Seal: s\r\n", id)));
        }
    }

    bool is_silent_;
    std::atomic<int> requests_ = 0;
    std::mutex mutex_;
    std::map<std::string, std::string> told_;
    fake_upstream server_;
};

} // namespace

TEST_GROUP(planned_stop)
{
    scripted_store store;
    clock_type::time_point stopped_at;

    settings::settings host_settings(std::uint16_t target_port, const std::string& timeout = "3")
    {
        store.put("servers", "i-1", server_json(target_port));
        auto route = route_json("sell", "/sell/", "unsafe", "ledger");
        route["timeout_s"] = std::stod(timeout);
        store.put("config", "main", state_json(1, {route}));
        settings::settings config = directory_settings(store.port());
        config.header_names_.deadline_ = "X-Deadline-Ms";
        return config;
    }

    // Gives the host latencies to expect later ones from.
    void warm_up(running_routed_host & host)
    {
        CHECK(host.reaches(1, 1));
        for (int id = 1; id <= 4; ++id) {
            test_client caller{host.port()};
            caller.send(commit(id));
            CHECK(caller.read_answer().ends_with("done"));
        }
    }

    void stop(running_routed_host & host)
    {
        stopped_at = clock_type::now();
        host.run([](http::http_task& task) { task.begin_stop(task.loop().now() + grace); });
    }

    void sleep_until(std::chrono::milliseconds since_stop) const
    {
        std::this_thread::sleep_until(stopped_at + since_stop);
    }

    [[nodiscard]] auto since_stop() const
    {
        return clock_type::now() - stopped_at;
    }
};

TEST(planned_stop, a_request_that_is_whole_too_late_is_not_sent_on)
{
    slow_target target;
    running_routed_host host{host_settings(target.port())};
    warm_up(host);
    const int before = target.requests();
    test_client early{host.port()};
    test_client slow_head{host.port()};
    test_client slow_body{host.port()};
    early.send(commit_head(11));
    slow_head.send(commit_head(12));
    slow_body.send(commit_head(13) + "Content-Length: 4\r\n\r\ns");
    stop(host);
    sleep_until(grace / 2);
    early.send("Content-Length: 4\r\n\r\nsold");
    CHECK(early.read_answer().ends_with("done"));
    CHECK(target.told(11) > 0ms);
    CHECK(target.told(11) < grace / 2);
    sleep_until(grace - work - 100ms);
    slow_head.send("Content-Length: 4\r\n\r\nsold");
    slow_body.send("old");
    for (test_client* caller : {&slow_head, &slow_body}) {
        const std::string answer = caller->read_answer();
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        STRCMP_EQUAL("not-run", field_of(answer, "Savoryscale-Outcome").c_str());
        CHECK(!field_of(answer, "Retry-After").empty());
    }
    CHECK(since_stop() < grace - work);
    LONGS_EQUAL(before + 1, target.requests());
}

TEST(planned_stop, a_request_that_is_not_whole_before_the_end_is_refused_early)
{
    slow_target target;
    running_routed_host host{host_settings(target.port())};
    warm_up(host);
    test_client slow_body{host.port()};
    test_client slow_head{host.port()};
    slow_body.send(commit_head(12) + "Content-Length: 4\r\n\r\ns");
    slow_head.send(commit_head(13));
    stop(host);
    CHECK(slow_body.read_answer().starts_with("HTTP/1.1 503 "));
    CHECK(since_stop() > grace / 2);
    CHECK(since_stop() < grace - work);
    CHECK(slow_head.read_to_end().starts_with("HTTP/1.1 408 "));
    CHECK(since_stop() < grace);
}

// A target that never answers is no reason to end its request early, nor without an answer.
TEST(planned_stop, a_request_that_was_sent_on_is_answered_before_the_end)
{
    slow_target target{true};
    running_routed_host host{host_settings(target.port())};
    CHECK(host.reaches(1, 1));
    test_client sent_before{host.port()};
    sent_before.send(commit(11));
    while (target.requests() < 1) {
        std::this_thread::sleep_for(1ms);
    }
    stop(host);
    const std::string answer = sent_before.read_answer();
    CHECK(answer.starts_with("HTTP/1.1 504 "));
    CHECK(since_stop() > grace - 300ms);
    CHECK(since_stop() < grace);
}

// What the host has read whole is answered, and the last answer says that the connection closes.
TEST(planned_stop, requests_that_were_sent_ahead_are_all_answered)
{
    slow_target target;
    running_routed_host host{host_settings(target.port())};
    warm_up(host);
    test_client caller{host.port()};
    std::string ahead;
    for (int id = 11; id < 20; ++id) {
        ahead += commit(id);
    }
    caller.send(ahead);
    std::this_thread::sleep_for(50ms);
    stop(host);
    int served = 0;
    for (int id = 11; id < 20; ++id) {
        const std::string answer = caller.read_answer();
        const bool done = answer.ends_with("done");
        served += done ? 1 : 0;
        CHECK(done || answer.starts_with("HTTP/1.1 503 "));
        CHECK(!done || field_of(answer, "X-Id") == std::to_string(id));
        CHECK_EQUAL(id == 19, field_of(answer, "Connection") == "close");
    }
    CHECK(since_stop() < grace);
    CHECK(served >= 4);
    CHECK(served < 9);
}

// A port that nothing listens on.
static std::uint16_t free_port()
{
    const fake_upstream taken{[](script_connection&, int) {}};
    return taken.port();
}

// The platform, or an operator who is in a hurry, sends the signal again; a reload comes between.
TEST(planned_stop, further_signals_cut_nothing_off)
{
    slow_target target;
    settings::settings config = host_settings(target.port());
    const std::uint16_t port = free_port();
    config.listen_.address_ = {"127.0.0.1", port};
    config.listen_.grace_ = settings::seconds{2};
    config.ready_ = settings::readiness_listener{{"127.0.0.1", free_port()}, "/ready", "/metrics"};
    cli::routed_host host{config, platform::dialect()};
    CHECK(host.start().has_value());
    bool graceful = false;
    std::thread running{[&] { graceful = host.run(""); }};
    std::string answer;
    for (int i = 0; i < 100 && !answer.ends_with("done"); ++i) {
        std::this_thread::sleep_for(10ms);
        test_client first{port};
        first.send(commit(1));
        answer = first.read_answer();
    }
    test_client caller{port};
    caller.send(commit(11));
    std::this_thread::sleep_for(50ms);
    for (const int signal : {SIGTERM, SIGTERM, SIGHUP, SIGTERM, SIGINT}) {
        std::raise(signal);
        std::this_thread::sleep_for(20ms);
    }
    answer = caller.read_answer();
    caller.shut_down();
    running.join();
    CHECK(answer.ends_with("done"));
    CHECK(graceful);
}
