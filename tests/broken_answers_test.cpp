// Answers of targets that break the protocol. The caller gets none of their bytes, the attempt ends
// at once and is charged to the target, and a request that may be repeated goes to another one.

#include "peer/feed_wire.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto at_once = 1s; // the route's timeout is 2 s
constexpr std::string_view lookup = "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n";
constexpr std::string_view sale = "POST /sell/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n"
                                  "Content-Length: 4\r\n\r\nsold";
constexpr std::string_view lookup_and_close =
    "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\nConnection: close\r\n\r\n";
const std::string fields = "X-Id: 11\r\nX-Seal: s\r\n";
const std::string final_answer = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\nbroken";

// What a target sends in reply to each request.
struct reply {
    std::string name_;
    std::string bytes_;
};

std::string with_status(std::string_view status, std::string_view body = "broken")
{
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, fields,
                       body.size(), body);
}

std::string with_line(std::string_view line)
{
    return fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\nContent-Length: 6\r\n\r\nbroken", fields, line);
}

std::vector<reply> replies_with_broken_statuses()
{
    std::vector<reply> all;
    for (const char* status : {"000", "001", "099", "600", "999"}) {
        all.push_back({fmt::format("status {}", status), with_status(status)});
    }
    all.push_back({"000, without a body", "HTTP/1.1 000 X\r\n" + fields + "\r\n"});
    all.push_back({"000, then an answer", with_status("000") + final_answer});
    all.push_back({"000, an answer as its body", with_status("000", final_answer)});
    for (const char* status : {"2", "20", "2000", "-20", "+20", "2 0", "2x0", "\x01\x32\x30"}) {
        all.push_back({fmt::format("status {}", status), with_status(status)});
    }
    return all;
}

// After these it is not known where the next answer begins.
std::vector<reply> replies_without_framing()
{
    return {
        {"100 with a length", "HTTP/1.1 100 X\r\nContent-Length: 6\r\n\r\nbroken" + final_answer},
        {"100 with an answer as its body",
         fmt::format("HTTP/1.1 100 X\r\nContent-Length: {}\r\n\r\n{}", final_answer.size(),
                     final_answer)},
        {"103 in chunks", "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + final_answer},
        {"101 that was not asked for", "HTTP/1.1 101 X\r\nUpgrade: other\r\n\r\n" + final_answer},
        {"204 with a length", with_status("204", final_answer)},
        {"204 in chunks",
         "HTTP/1.1 204 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + final_answer},
    };
}

std::vector<reply> replies_with_broken_fields()
{
    std::vector<reply> all;
    for (const char* name : {"", "X Y", "X\tY", "X\x01Y", "X\x0bY", "X\x0cY", "X\x1fY", "X\x7fY",
                             "X\x80Y", "X\rY", "X\nY", "X(Y", "X@Y", "X ", " X"}) {
        std::string printed;
        for (const char letter : std::string_view{name}) {
            printed += fmt::format("{:02x} ", static_cast<unsigned char>(letter));
        }
        all.push_back({"field " + printed, with_line(fmt::format("{}: 1", name))});
    }
    all.push_back({"field with NUL", with_line(std::string_view{"X\0Y: 1", 6})});
    all.push_back({"line without a colon", with_line("X")});
    all.push_back({"control byte in a value", with_line("X: a\x01")});
    return all;
}

// The target was asked for something else on the same connection before.
std::vector<reply> replies_after_a_late_answer()
{
    const std::string late = "HTTP/1.1 200 OK\r\nX-Id: 9\r\nX-Seal: s\r\n";
    return {
        {"late, then 000", late + "Content-Length: 4\r\n\r\nlate" + with_status("000")},
        {"late, in broken chunks", late + "Transfer-Encoding: chunked\r\n\r\nzz\r\nlate\r\n"},
        {"late, with a broken field", late + "X Y: 1\r\nContent-Length: 4\r\n\r\nlate"},
        {"late, with 999", "HTTP/1.1 999 X\r\nX-Id: 9\r\nContent-Length: 0\r\n\r\n"},
    };
}

// Answers without content, and bytes after them.
std::vector<reply> replies_with_surplus()
{
    const std::string sound = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nsound";
    return {
        {"an answer, then 000", sound + with_status("000")},
        {"an answer, then another", sound + final_answer},
        {"204 with content", "HTTP/1.1 204 X\r\n" + fields + "\r\n" + final_answer},
        {"304 with content", with_status("304", final_answer)},
    };
}

// Sound, and unusual.
std::vector<reply> sound_replies()
{
    const std::string sound = ok_answer("sound", fields);
    return {
        {"100", "HTTP/1.1 100 Continue\r\n\r\n" + sound},
        {"103 with a field", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound},
        {"100 with an empty body", "HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\n" + sound},
        {"no reason", "HTTP/1.1 200 \r\n" + fields + "Content-Length: 5\r\n\r\nsound"},
        {"bytes over 127",
         "HTTP/1.1 200 \xfc\r\nX: \xfc\r\n" + fields + "Content-Length: 5\r\n\r\nsound"},
        {"extension and trailer", "HTTP/1.1 200 OK\r\n" + fields +
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "5;a=b\r\nsound\r\n0\r\nX: y\r\n\r\n"},
    };
}

// Targets that answer soundly, unless told to send something else.
class replying_targets {
public:
    explicit replying_targets(std::string broken) : broken_{std::move(broken)} {}

    // The next requests, this many, get the broken reply.
    void break_next(int requests) { broken_left_ = requests; }

    [[nodiscard]] std::uint16_t port(std::size_t target) const { return servers_[target].port(); }
    [[nodiscard]] int requests() const { return requests_; }

    // Waits up to 1 s until the host has closed this many connections after a broken reply.
    [[nodiscard]] bool are_closed_by_host(int connections) const
    {
        for (int i = 0; i < 100 && closed_ < connections; ++i) {
            std::this_thread::sleep_for(10ms);
        }
        return closed_ == connections;
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
            if (broken_left_-- > 0) {
                connection.send(broken_);
                connection.wait_for_close();
                ++closed_;
                return;
            }
            connection.send(ok_answer("sound", fields));
        }
    }

    std::string broken_;
    std::atomic<int> broken_left_ = 0;
    std::atomic<int> requests_ = 0;
    std::atomic<int> closed_ = 0;
    fake_upstream::script script_ = [this](script_connection& connection, int) {
        serve(connection);
    };
    std::array<fake_upstream, 2> servers_{fake_upstream{script_}, fake_upstream{script_}};
};

bool is_sound(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nsound");
}

double attempts(running_routed_host& host, routing::attempt_end end)
{
    double count = 0;
    host.run([&](http::http_task& task) { count = task.metrics().attempts_[end].Value(); });
    return count;
}

} // namespace

TEST_GROUP(broken_answers)
{
    scripted_store store;

    void publish(const replying_targets& targets)
    {
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger"),
                                 route_json("sell", "/sell/", "unsafe", "ledger")}));
        store.put("servers", "i-1", server_json(targets.port(0)));
        store.put("servers", "i-2", server_json(targets.port(1)));
    }

    // The answer to a request; empty if it did not come at once.
    static std::string answer_at_once(running_routed_host & host, std::string_view request)
    {
        test_client caller{host.port()};
        const auto started = std::chrono::steady_clock::now();
        caller.send(request);
        const std::string answer = caller.read_answer();
        return std::chrono::steady_clock::now() - started < at_once ? answer : std::string{};
    }

    void check_is_broken(const reply& sent)
    {
        constexpr int lookups_for_a_retry = 12;
        const char* const name = sent.name_.c_str();
        replying_targets targets{sent.bytes_};
        publish(targets);
        running_routed_host host{store.port()};
        CHECK(host.reaches(1, 2));
        for (int i = 0; i < lookups_for_a_retry; ++i) {
            CHECK(is_sound(answer_at_once(host, lookup)));
        }
        const int before = targets.requests();
        targets.break_next(1);
        CHECK_TEXT(is_sound(answer_at_once(host, lookup)), name);
        LONGS_EQUAL_TEXT(2, targets.requests() - before, name);

        targets.break_next(1);
        const std::string answer = answer_at_once(host, sale);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 502 "), name);
        CHECK_TEXT(answer.find("broken") == std::string::npos, name);
        LONGS_EQUAL_TEXT(3, targets.requests() - before, name);

        CHECK_TEXT(targets.are_closed_by_host(2), name);
        DOUBLES_EQUAL_TEXT(2, attempts(host, routing::attempt_end::broken), 0, name);
    }

    // The connection is not used again, so that no later request gets the surplus either.
    void check_surplus_is_dropped(const reply& sent, std::string_view request)
    {
        const char* const name = sent.name_.c_str();
        replying_targets targets{sent.bytes_};
        publish(targets);
        running_routed_host host{store.port()};
        CHECK(host.reaches(1, 2));
        targets.break_next(1);
        test_client caller{host.port()};
        caller.send(request);
        caller.send(lookup_and_close);
        const std::string answers = caller.read_to_end();
        CHECK_TEXT(answers.find("broken") == std::string::npos, name);
        CHECK_TEXT(answers.find("000") == std::string::npos, name);
        CHECK_TEXT(is_sound(answers.substr(answers.rfind("HTTP/1.1 "))), name);
        CHECK_TEXT(targets.are_closed_by_host(1), name);
    }
};

TEST(broken_answers, a_status_that_does_not_exist)
{
    for (const reply& each : replies_with_broken_statuses()) {
        check_is_broken(each);
    }
}

TEST(broken_answers, content_or_another_protocol_after_a_status_that_has_none)
{
    for (const reply& each : replies_without_framing()) {
        check_is_broken(each);
    }
}

TEST(broken_answers, a_late_answer_that_is_broken)
{
    for (const reply& each : replies_after_a_late_answer()) {
        check_is_broken(each);
    }
}

TEST(broken_answers, bytes_after_an_answer_are_passed_on)
{
    for (const reply& each : replies_with_surplus()) {
        check_surplus_is_dropped(each, sale);
    }
    const std::string_view head_only =
        "HEAD /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n";
    check_surplus_is_dropped({"content after HEAD", with_status("200", final_answer)}, head_only);
}

// A status check proves nothing if it is broken.
TEST(broken_answers, a_target_whose_status_check_is_broken_gets_requests)
{
    for (const char* status : {"000", "600"}) {
        fake_upstream failing{[&](script_connection& connection, int) {
            while (!connection.read_request().empty()) {
                connection.send(fmt::format("HTTP/1.1 {} X\r\nX-Load: 0,0,2,100\r\n"
                                            "Content-Length: 0\r\n\r\n",
                                            status));
            }
        }};
        replying_targets targets{""};
        publish(targets);
        store.put("servers", "i-3", server_json(failing.port()));
        running_routed_host host{store.port()};
        CHECK(host.reaches(1, 3));
        for (int i = 0; i < 20; ++i) {
            CHECK_TEXT(is_sound(answer_at_once(host, lookup)), status);
        }
        LONGS_EQUAL_TEXT(20, targets.requests(), status);
        store.remove("servers", "i-3");
    }
}

// A list without objects would take all targets and routes away.
TEST(broken_answers, broken_answers_of_the_store_change_nothing)
{
    replying_targets targets{""};
    publish(targets);
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 2));
    const std::string empty_list =
        R"({"items":[],"events":[],"has_more":false,"store_revision":99})";
    for (const char* status : {"000", "099", "101", "204", "304", "600"}) {
        const int before = store.calls();
        store.set_answer(with_status(status, empty_list));
        for (int i = 0; i < 600 && store.calls() < before + 4; ++i) {
            std::this_thread::sleep_for(10ms);
        }
        CHECK_TEXT(store.calls() >= before + 4, status);
        host.run([&](http::http_task& task) {
            LONGS_EQUAL_TEXT(2, task.target_count("ledger"), status);
            LONGS_EQUAL_TEXT(1, task.routes()->state_.version_, status);
        });
        CHECK_TEXT(is_sound(answer_at_once(host, lookup)), status);
    }
    store.set_answer({});
    store.put("config", "main", state_json(2, {route_json("look", "/look/", "safe", "ledger")}));
    CHECK(host.reaches(2, 2));
}

// The page itself is sound: with 200 the host takes it.
TEST(broken_answers, a_page_of_the_feed_with_a_broken_status_is_applied)
{
    directory::feed_page page;
    page.epoch_ = 5;
    page.complete_ = true;
    page.targets_revision_ = page.configuration_revision_ = 900;
    page.version_ = 9;
    page.document_ = state_json(9, {route_json("look", "/look/", "safe", "ledger")}).dump();
    const std::string bytes = peer::write_feed_page(page);
    replying_targets targets{""};
    publish(targets);
    for (const char* status : {"000", "099", "600", "200"}) {
        std::atomic<int> pages = 0;
        fake_upstream peer{[&](script_connection& connection, int) {
            while (!connection.read_request().empty()) {
                ++pages;
                connection.send(with_status(status, bytes));
            }
        }};
        settings::settings config = directory_settings(store.port());
        config.directory_->feed_ =
            settings::directory_feed{{"127.0.0.1", 0}, {{"127.0.0.1", peer.port()}}, 30ms, {}};
        running_routed_host host{config};
        const bool is_sound = status == std::string_view{"200"};
        CHECK_TEXT(is_sound ? host.reaches(9, 0) : host.reaches(1, 2), status);
        for (int i = 0; i < 600 && pages < 2; ++i) {
            std::this_thread::sleep_for(10ms);
        }
        CHECK_TEXT(pages > 0, status);
        host.run([&](http::http_task& task) {
            LONGS_EQUAL_TEXT(is_sound ? 9 : 1, task.routes()->state_.version_, status);
        });
    }
}

TEST(broken_answers, sound_answers_are_passed_on)
{
    for (const reply& each : sound_replies()) {
        replying_targets targets{each.bytes_};
        publish(targets);
        running_routed_host host{store.port()};
        CHECK(host.reaches(1, 2));
        targets.break_next(1);
        const std::string answer = answer_at_once(host, sale);
        CHECK_TEXT(is_sound(answer), each.name_.c_str());
    }
}

TEST(broken_answers, a_field_whose_name_is_no_token)
{
    for (const reply& each : replies_with_broken_fields()) {
        check_is_broken(each);
    }
}
