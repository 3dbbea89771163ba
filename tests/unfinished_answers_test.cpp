// Answers that never end, wherever they stop. The caller gets an answer or the end of its
// connection within half a second of the route's timeout, and the side that is slow is charged.

#include "http/proxied_call.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto timeout = 500ms;
constexpr auto end_max = timeout + 500ms;
constexpr std::string_view lookup = "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n";
const std::string status_line = "HTTP/1.1 200 OK\r\nX-Id: 11\r\nX-Seal: s\r\n";
const std::string long_body(http::answer_buffer_max + 1, 'p');

// What a target sends at once, and then again and again until its connection is closed.
struct unfinished {
    const char* name_;
    std::string begin_;
    std::string repeat_; // empty: nothing more
    std::chrono::milliseconds pause_{100};
};

class unfinished_target {
public:
    explicit unfinished_target(unfinished what, int receive_bytes = 0)
        : what_{std::move(what)},
          server_{[this](script_connection& connection, int) { serve(connection); }, receive_bytes}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    void serve(script_connection& connection)
    {
        for (std::string request; !(request = connection.read_request()).empty();) {
            if (request.starts_with("GET /health ")) {
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                continue;
            }
            connection.send(what_.begin_);
            const auto until = std::chrono::steady_clock::now() + end_max + 200ms;
            while (!what_.repeat_.empty() && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(what_.pause_);
                connection.send(what_.repeat_);
            }
            connection.wait_for_close();
        }
    }

    unfinished what_;
    fake_upstream server_;
};

// Attempts that were charged to the target as too slow.
double timeouts(running_routed_host& host)
{
    double count = 0;
    host.run([&](http::http_task& task) {
        count = task.metrics().attempts_[routing::attempt_end::timeout].Value();
    });
    return count;
}

// Waits up to 1 s until the host has charged one attempt.
bool is_charged(running_routed_host& host)
{
    for (int i = 0; i < 100 && timeouts(host) < 1; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    return timeouts(host) == 1;
}

} // namespace

TEST_GROUP(unfinished_answers)
{
    scripted_store store;

    void publish(std::uint16_t target_port)
    {
        store.put("servers", "i-1", server_json(target_port));
        auto look = route_json("look", "/look/", "safe", "ledger");
        auto sell = route_json("sell", "/sell/", "unsafe", "ledger");
        look["timeout_s"] = sell["timeout_s"] = std::chrono::duration<double>{timeout}.count();
        auto state = state_json(1, {look, sell});
        state["limits"]["max_body_bytes"] = 50'000'000;
        store.put("config", "main", state);
    }
};

TEST(unfinished_answers, end_soon_after_the_routes_timeout_wherever_they_stop)
{
    const std::string chunk = "20001\r\n" + long_body; // without its end
    const std::vector<unfinished> all{
        {"short, with a length", status_line + "Content-Length: 100\r\n\r\nten bytes.", ""},
        {"short, a byte at a time", status_line + "Content-Length: 100\r\n\r\n", "q", 200ms},
        {"short, without a length", status_line + "Connection: close\r\n\r\nten bytes.", ""},
        {"short, within a chunk", status_line + "Transfer-Encoding: chunked\r\n\r\n20\r\nq", ""},
        {"within the head", status_line, ""},
        {"fields without end", status_line, "X-More: a\r\n"},
        {"1xx after 1xx", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"long, with a length", status_line + "Content-Length: 900000\r\n\r\n" + long_body, ""},
        {"long, a byte at a time", status_line + "Content-Length: 900000\r\n\r\n" + long_body, "q",
         200ms},
        {"long, without a length", status_line + "Connection: close\r\n\r\n" + long_body, "q"},
        {"long, within a chunk", status_line + "Transfer-Encoding: chunked\r\n\r\n" + chunk, ""},
        {"long, within the trailer",
         status_line + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n0\r\n", "X-More: a\r\n"},
    };
    for (const unfinished& each : all) {
        unfinished_target target{each};
        publish(target.port());
        running_routed_host host{store.port()};
        CHECK(host.reaches(1, 1));
        test_client caller{host.port()};
        const auto started = std::chrono::steady_clock::now();
        caller.send(lookup);
        const std::string answer = caller.read_answer();
        const auto taken = std::chrono::steady_clock::now() - started;
        CHECK_TEXT(taken >= timeout && taken < end_max, each.name_);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 504 ") || !answer.ends_with("\r\n0\r\n\r\n"),
                   each.name_);
        CHECK_TEXT(is_charged(host), each.name_);
    }
}

// The target does not read the body, so that it is neither whole nor answered.
TEST(unfinished_answers, a_target_that_stops_reading_a_body_gets_no_more_time)
{
    fake_upstream target{[](script_connection& connection, int number) {
                             if (number == 0) {
                                 connection.send("");
                             }
                             std::this_thread::sleep_for(2s);
                         },
                         4096};
    publish(target.port());
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 1));
    test_client caller{host.port()};
    const auto started = std::chrono::steady_clock::now();
    caller.send("POST /sell/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 12\r\n"
                "Content-Length: 20000000\r\n\r\n");
    std::thread sender{[&] { caller.send(std::string(20'000'000, 'b')); }};
    const std::string answer = caller.read_answer();
    const auto taken = std::chrono::steady_clock::now() - started;
    caller.shut_down();
    sender.join();
    CHECK(answer.starts_with("HTTP/1.1 50"));
    CHECK(taken < end_max);
}

// A caller that does not read keeps the target from sending: neither its silence nor its delay is
// the target's.
TEST(unfinished_answers, a_caller_that_reads_slowly_is_not_charged_to_the_target)
{
    unfinished_target target{
        {"fast", status_line + "Content-Length: 40000000\r\n\r\n" + std::string(40'000'000, 'p'),
         ""}};
    publish(target.port());
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 1));
    test_client caller{host.port(), 4096};
    const auto started = std::chrono::steady_clock::now();
    caller.send(lookup);
    std::this_thread::sleep_for(end_max);
    const std::string answer = caller.read_answer();
    CHECK(answer.size() < 40'000'000);
    CHECK(std::chrono::steady_clock::now() - started < end_max + 500ms);
    std::this_thread::sleep_for(100ms);
    DOUBLES_EQUAL(0, timeouts(host), 0);
}
