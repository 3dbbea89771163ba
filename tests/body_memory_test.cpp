// The memory for bodies in progress: the decision, and hosts at the bound over real sockets.

#include "admission/body_memory.hpp"

#include "http/proxied_call.hpp"
#include "support/fake_upstream.hpp"
#include "support/running_http_task.hpp"
#include "support/running_routed_host.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string value_of(const std::string& request, std::string_view field)
{
    const auto at = request.find(field);
    const auto from = at + field.size();
    return at == std::string::npos ? "" : request.substr(from, request.find('\r', from) - from);
}

std::string upload(std::size_t bytes, std::string_view id = "31")
{
    return fmt::format("POST /up/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       id, bytes, std::string(bytes, 'u'));
}

// Answers probes; passes the head and body of every other request to `answer`.
class upload_target {
public:
    using answer_function = std::function<std::string(const std::string& request)>;

    explicit upload_target(answer_function answer)
        : answer_{std::move(answer)}, server_{[this](script_connection& connection, int) {
              while (true) {
                  const std::string request = connection.read_request();
                  if (request.empty()) {
                      return;
                  }
                  if (request.starts_with("GET /health ")) {
                      connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                      continue;
                  }
                  ++requests_;
                  const std::string text = answer_(request);
                  connection.send(text);
                  if (text.empty()) {
                      return;
                  }
              }
          }}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] int requests() const { return requests_; }

private:
    std::atomic<int> requests_ = 0;
    answer_function answer_;
    fake_upstream server_;
};

std::string sealed_ok(const std::string& request)
{
    const std::string body = request.substr(request.find("\r\n\r\n") + 4);
    return ok_answer(std::to_string(body.size()),
                     fmt::format("X-Id: {}\r\nX-Seal: s\r\n", value_of(request, "X-Id: ")));
}

std::string not_run(const std::string& request)
{
    return fmt::format(
        "HTTP/1.1 503 Full\r\nX-Id: {}\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n",
        value_of(request, "X-Id: "));
}

} // namespace

TEST_GROUP(body_memory)
{
    scripted_store store;
    time_point now = time_point{} + 100s;

    void publish(const std::string& route_type)
    {
        auto state = state_json(1, {route_json("up", "/up/", route_type, "ledger")});
        state["limits"]["max_body_bytes"] = 4000000;
        store.put("config", "main", state);
    }
};

TEST(body_memory, bodies_get_less_when_half_is_used_and_new_ones_are_refused_at_three_quarters)
{
    admission::body_memory memory;
    memory.max_ = 1000000;
    CHECK(admission::is_measurement_due(memory, now));
    admission::on_measured(memory, 499999, now);
    CHECK(!admission::is_measurement_due(memory, now + 5ms));
    LONGS_EQUAL(65536, admission::body_limit(memory, 65536));
    CHECK(admission::accepts_body(memory));
    admission::on_measured(memory, 500000, now);
    CHECK(admission::body_limit(memory, 65536) < 65536);
    LONGS_EQUAL(100, admission::body_limit(memory, 100));
    CHECK(admission::accepts_body(memory));
    admission::on_measured(memory, 750000, now);
    CHECK(!admission::accepts_body(memory));
}

// Uploads whose target reads nothing stay in memory until the bound. Further ones are then refused
// at once as not run, and taken again when the callers have left.
TEST(body_memory, uploads_beyond_the_bound_are_refused_as_not_run)
{
    fake_upstream stalling{[](script_connection&, int) { std::this_thread::sleep_for(4s); }, 4096};
    settings::settings config = single_service_settings({stalling.port()});
    config.listen_.body_memory_mb_ = 1;
    config.services_[0].connections_per_target_ = 128;
    config.services_[0].slots_per_target_ = 128;
    config.services_[0].deadline_ = 20s;
    running_http_task host{config};
    const std::string begin = "POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n" +
                              std::string(3000000, 'u');
    std::vector<std::unique_ptr<test_client>> callers;
    std::vector<std::thread> senders;
    std::size_t held_max = 0;
    bool accepts = true;
    const auto measure = [&] {
        host.run([&](http::http_task& task) {
            held_max = std::max(held_max, task.measured_body_memory().held_);
            accepts = admission::accepts_body(task.measured_body_memory());
        });
    };
    // Bytes on their way are counted before the kernel takes some of them.
    const auto is_bound_reached = [&] {
        for (int i = 0; i < 10; ++i) {
            std::this_thread::sleep_for(12ms);
            measure();
            if (accepts) {
                return false;
            }
        }
        return true;
    };
    for (int i = 0; i < 100; ++i) {
        callers.push_back(std::make_unique<test_client>(host.port()));
        senders.emplace_back([&, caller = callers.back().get()] { caller->send(begin); });
        if (is_bound_reached()) {
            break;
        }
    }
    CHECK(!accepts);
    test_client late{host.port()};
    late.send(begin.substr(0, 60000));
    const std::string refused = late.read_answer();
    STRCMP_CONTAINS(" 503 ", refused.c_str());
    STRCMP_CONTAINS("not-run", refused.c_str());
    STRCMP_CONTAINS("Retry-After", refused.c_str());
    std::this_thread::sleep_for(200ms);
    measure();
    CHECK(held_max < std::size_t{1} << 20U);
    for (const auto& caller : callers) {
        caller->shut_down();
    }
    for (std::thread& sender : senders) {
        sender.join();
    }
    std::this_thread::sleep_for(100ms);
    measure();
    CHECK(accepts);
}

// A caller that sends many requests and reads none of the answers gets no further ones served.
TEST(body_memory, a_caller_must_read_earlier_answers_before_its_next_request)
{
    std::atomic<int> served = 0;
    const std::string body(100000, 'a');
    fake_upstream target{[&](script_connection& connection, int) {
        while (!connection.read_request().empty()) {
            ++served;
            connection.send(ok_answer(body));
        }
    }};
    running_http_task host{single_service_settings({target.port()})};
    test_client caller{host.port(), 65536};
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        caller.send("GET /lot/7 HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    std::this_thread::sleep_for(1s);
    CHECK(served < requests / 2); // the kernel's buffers hold some of them
    host.run([&](http::http_task& task) {
        CHECK(task.measured_body_memory().held_ < std::size_t{1} << 20U);
    });
    for (int i = 0; i < requests; ++i) {
        CHECK(contains(caller.read_answer(), body));
    }
}

// A large body is kept, so that a target that proves not to have run it does not cost the caller
// another transfer.
TEST(body_memory, an_upload_that_a_target_did_not_run_is_sent_to_another)
{
    std::atomic<int> first = 0;
    const auto answer = [&](const std::string& request) {
        return first++ == 0 ? not_run(request) : sealed_ok(request);
    };
    upload_target one{answer};
    upload_target other{answer};
    publish("upload");
    store.put("servers", "i-1", server_json(one.port()));
    store.put("servers", "i-2", server_json(other.port()));
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 2));
    for (int i = 0; i < 24; ++i) { // extra attempts are a fraction of first ones
        first = 1;
        test_client caller{host.port()};
        caller.send(upload(10));
        STRCMP_CONTAINS("200 OK", caller.read_answer().c_str());
    }
    first = 0;
    test_client caller{host.port()};
    caller.send(upload(300000));
    const std::string text = caller.read_answer();
    STRCMP_CONTAINS("200 OK", text.c_str());
    CHECK(text.ends_with("\r\n\r\n300000"));
    LONGS_EQUAL(2, first);
}

TEST(body_memory, an_upload_that_may_have_run_is_not_sent_again)
{
    const auto broken = [](const std::string&) { return std::string{}; };
    upload_target one{broken};
    upload_target other{broken};
    publish("upload");
    store.put("servers", "i-1", server_json(one.port()));
    store.put("servers", "i-2", server_json(other.port()));
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 2));
    test_client caller{host.port()};
    caller.send(upload(300000));
    const std::string text = caller.read_answer();
    STRCMP_CONTAINS(" 502 ", text.c_str());
    STRCMP_CONTAINS("unknown", text.c_str());
    LONGS_EQUAL(1, one.requests() + other.requests());
}

// The target answers before it has read the body and reads on later; the rest of the body must not
// be followed by another request on that connection.
TEST(body_memory, an_early_answer_is_forwarded_and_its_connection_is_not_used_again)
{
    std::atomic<int> later = 0;
    fake_upstream target{[&](script_connection& connection, int number) {
        if (number > 0) {
            while (true) {
                const std::string request = connection.read_request();
                if (request.empty()) {
                    return;
                }
                ++later;
                connection.send(ok_answer("second"));
            }
        }
        connection.send(""); // reads nothing yet
        std::this_thread::sleep_for(50ms);
        connection.send(ok_answer("early"));
        std::this_thread::sleep_for(300ms);
    }};
    running_http_task host{single_service_settings({target.port()})};
    test_client caller{host.port()};
    caller.send("POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n" +
                std::string(70000, 'u'));
    const std::string early = caller.read_answer();
    STRCMP_CONTAINS("200 OK", early.c_str());
    STRCMP_CONTAINS("Connection: close", early.c_str());
    test_client next{host.port()};
    next.send("GET /lot/7 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(contains(next.read_answer(), "second"));
    CHECK(later > 0);
}

TEST(body_memory, a_caller_that_leaves_in_the_middle_of_its_body_ends_the_attempt)
{
    std::atomic<bool> ended = false;
    fake_upstream target{[&](script_connection& connection, int) {
        connection.wait_for_close();
        ended = true;
    }};
    running_http_task host{single_service_settings({target.port()})};
    {
        test_client caller{host.port()};
        caller.send("POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n" +
                    std::string(70000, 'u'));
        std::this_thread::sleep_for(100ms);
    }
    for (int i = 0; i < 50 && !ended; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(ended);
}

// A caller that stalls gets its answer at its deadline; the target sees an incomplete request.
TEST(body_memory, a_caller_that_stalls_in_its_body_is_answered_at_the_deadline)
{
    fake_upstream target{[](script_connection& connection, int) { connection.wait_for_close(); }};
    settings::settings config = single_service_settings({target.port()});
    config.services_[0].deadline_ = 300ms;
    running_http_task host{config};
    test_client caller{host.port()};
    caller.send("POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n" +
                std::string(70000, 'u'));
    const std::string text = caller.read_answer();
    STRCMP_CONTAINS(" 504 ", text.c_str());
    STRCMP_CONTAINS("unknown", text.c_str());
}
