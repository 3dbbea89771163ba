// Entry hosts of which some reach no target, while callers, the store and the other hosts still
// reach them. Each host has its own store, which lists the targets at addresses of its own.

#include "support/answer_bytes.hpp"
#include "support/relay.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;
using tests::path_cut;

namespace {

constexpr std::size_t unframed_bytes = 150000; // forwarded as it arrives

// Answers with the body of the request, and counts the runs of each request.
class counting_target {
public:
    counting_target() : server_{[this](script_connection& connection, int) { serve(connection); }}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    std::map<std::string, std::string> runs() // the request last received with each id
    {
        const std::lock_guard lock{mutex_};
        return runs_;
    }

    [[nodiscard]] int repeated() const { return repeated_; }

private:
    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            if (request.starts_with("GET /health ")) {
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                continue;
            }
            if (const auto at = request.find("/stall/"); at != std::string::npos) {
                const std::size_t sent = std::stoul(request.substr(at + 7));
                connection.send(fmt::format(
                    "HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Seal: s\r\nContent-Length: {}\r\n\r\n{}",
                    field_of(request, "X-Id"), sent + 1, std::string(sent, 'p')));
                connection.wait_for_close();
                return;
            }
            if (request.find("/unframed/") != std::string::npos) {
                connection.send(fmt::format("HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Seal: s\r\n\r\n{}",
                                            field_of(request, "X-Id"),
                                            std::string(unframed_bytes, 'p')));
                connection.close();
                return;
            }
            if (request.find("/broken/") != std::string::npos) {
                connection.send("HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nbroken");
                connection.wait_for_close();
                return;
            }
            {
                const std::lock_guard lock{mutex_};
                repeated_ += runs_.count(field_of(request, "X-Id")) > 0 ? 1 : 0;
                runs_[field_of(request, "X-Id")] = request;
            }
            std::this_thread::sleep_for(5ms);
            connection.send(
                ok_answer("done" + request.substr(request.find("\r\n\r\n") + 4),
                          fmt::format("X-Id: {}\r\nX-Seal: s\r\n", field_of(request, "X-Id"))));
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::string> runs_;
    std::atomic<int> repeated_ = 0;
    fake_upstream server_;
};

struct served {
    int all_ = 0;
    int answered_ = 0;
    int slow_ = 0; // answered, or refused, after more than half a second
};

} // namespace

TEST_GROUP(cut_off_host)
{
    std::vector<std::unique_ptr<counting_target>> targets;
    std::vector<std::unique_ptr<scripted_store>> stores;
    std::vector<std::vector<std::unique_ptr<tests::relay>>> paths; // by host, then by target
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    settings::settings host_settings(int number) const
    {
        settings::settings config =
            directory_settings(stores[static_cast<std::size_t>(number)]->port());
        config.host_.id_ = fmt::format("host-{}", number);
        config.directory_->drain_ = settings::seconds{2};
        settings::directory_feed feed{feed_address(number), {}, 30ms, {}};
        for (int each = 0; each < 3; ++each) {
            feed.hosts_.push_back(feed_address(each));
        }
        feed.relay_ = feed_address(number + 3);
        config.directory_->feed_ = feed;
        return config;
    }

    void start(int target_count)
    {
        for (int i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<counting_target>());
        }
        for (int host = 0; host < 3; ++host) {
            stores.push_back(std::make_unique<scripted_store>());
            auto state = state_json(1, {route_json("look", "/look/", "safe", "ledger"),
                                        route_json("sell", "/sell/", "unsafe", "ledger")});
            state["limits"]["max_body_bytes"] = 1000000;
            stores.back()->put("config", "main", state);
            paths.emplace_back();
            for (const auto& target : targets) {
                paths.back().push_back(std::make_unique<tests::relay>(target->port()));
                stores.back()->put("servers", fmt::format("i-{}", paths.back().size()),
                                   server_json(paths.back().back()->port()));
            }
        }
        for (int host = 0; host < 3; ++host) {
            hosts.push_back(std::make_unique<running_routed_host>(host_settings(host)));
        }
        for (auto& host : hosts) {
            CHECK(host->reaches(1, targets.size()));
        }
        std::this_thread::sleep_for(500ms); // each host has read the addresses in its own store
    }

    void cut(std::size_t host, path_cut how)
    {
        for (auto& path : paths[host]) {
            path->set_cut(how);
        }
    }

    std::string call(std::size_t host, const std::string& path, const std::string& fields,
                     const std::string& body = "")
    {
        static std::atomic<int> id = 1000000;
        test_client caller{hosts[host]->port()};
        caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n"
                                "X-Deadline-Ms: 1000\r\n{}Content-Length: {}\r\n\r\n{}",
                                path, ++id, fields, body.size(), body));
        return caller.read_answer();
    }

    // Requests that the second and third host have taken from others.
    std::size_t handed_on()
    {
        std::size_t all = 0;
        for (std::size_t host = 1; host < hosts.size(); ++host) {
            hosts[host]->run([&](http::http_task& task) { all += task.relayed_calls_total(); });
        }
        return all;
    }

    // Sends requests to the host one after the other for a time.
    served call_for(std::size_t host, duration time)
    {
        static std::atomic<int> id = 0;
        served seen;
        const time_point end = monotonic_now() + time;
        while (monotonic_now() < end) {
            const time_point began = monotonic_now();
            test_client caller{hosts[host]->port()};
            const int number = ++id;
            caller.send(fmt::format("POST /{}/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n"
                                    "X-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\n{:04}",
                                    number % 2 == 0 ? "look" : "sell", number, number % 10000));
            const std::string answer = caller.read_answer();
            ++seen.all_;
            seen.answered_ += answer.ends_with(fmt::format("done{:04}", number % 10000)) ? 1 : 0;
            seen.slow_ += monotonic_now() - began > 500ms ? 1 : 0;
            std::this_thread::sleep_for(10ms);
        }
        return seen;
    }

    // The rule: from 3 s after the cut, served two thirds as often as at the other hosts.
    void check_served(path_cut how)
    {
        cut(0, how);
        call_for(0, 3s);
        const served here = call_for(0, 1s);
        const served there = call_for(1, 1s);
        CHECK_EQUAL(there.all_, there.answered_);
        CHECK_TEXT(3 * here.answered_ >= 2 * here.all_,
                   fmt::format("{} of {} served", here.answered_, here.all_).c_str());
        for (const auto& target : targets) {
            LONGS_EQUAL(0, target->repeated());
        }
    }
};

TEST(cut_off_host, callers_of_a_host_that_reaches_no_target_are_refused)
{
    start(4);
    check_served(path_cut::silent);
}

TEST(cut_off_host, callers_of_a_host_whose_connections_are_reset_and_refused_are_refused)
{
    start(4);
    check_served(path_cut::reset);
}

TEST(cut_off_host, callers_are_refused_while_open_connections_live_on_and_new_ones_are_refused)
{
    start(4);
    call_for(0, 500ms);
    check_served(path_cut::refuse_new);
}

TEST(cut_off_host, callers_of_a_service_with_a_single_target_are_refused)
{
    start(1);
    check_served(path_cut::silent);
}

TEST(cut_off_host, a_host_hands_requests_on_after_its_targets_are_back)
{
    start(4);
    cut(0, path_cut::reset);
    call_for(0, 500ms);
    cut(0, path_cut::none);
    call_for(0, 1s);
    const auto before = handed_on();
    const served here = call_for(0, 500ms);
    CHECK_EQUAL(here.all_, here.answered_);
    LONGS_EQUAL(before, handed_on());
}

// Also a long one, which is forwarded as it arrives: its end is due by the caller's deadline.
TEST(cut_off_host, an_answer_that_stops_ends_in_time_through_another_host)
{
    start(4);
    cut(0, path_cut::reset);
    call_for(0, 3s);
    for (const char* path : {"/look/stall/10", "/look/stall/150000", "/sell/stall/150000"}) {
        const auto before = handed_on();
        const time_point began = monotonic_now();
        const std::string answer = call(0, path, "");
        const duration taken = monotonic_now() - began;
        CHECK_TEXT(taken >= 990ms && taken < 1500ms, path);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 50") || answer.starts_with("HTTP/1.1 200 "), path);
        CHECK_TEXT(!answer.starts_with("HTTP/1.1 200 ") || answer.size() < 150400, path);
        CHECK_TEXT(handed_on() > before, path);
    }
}

TEST(cut_off_host, a_broken_answer_ends_at_once_through_another_host)
{
    start(4);
    cut(0, path_cut::reset);
    call_for(0, 3s);
    for (const char* path : {"/look/broken/", "/sell/broken/"}) {
        const auto before = handed_on();
        const time_point began = monotonic_now();
        const std::string answer = call(0, path, "");
        CHECK_TEXT(monotonic_now() - began < 500ms, path);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 502 "), path);
        CHECK_TEXT(answer.find("broken") == std::string::npos, path);
        CHECK_TEXT(handed_on() > before, path);
    }
}

// The caller's next answer begins where a second last chunk would stand.
TEST(cut_off_host, an_answer_without_a_length_ends_twice_through_another_host)
{
    start(4);
    cut(0, path_cut::reset);
    call_for(0, 3s);
    const auto before = handed_on();
    test_client caller{hosts[0]->port()};
    caller.send("GET /look/unframed/ HTTP/1.1\r\nHost: a.example\r\nX-Id: 7777\r\n\r\n"
                "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7778\r\n"
                "Connection: close\r\n\r\n");
    std::string bytes = caller.read_to_end();
    CHECK(take_answer(bytes) == std::string(unframed_bytes, 'p'));
    CHECK(take_answer(bytes) == "done");
    LONGS_EQUAL(0, bytes.size());
    CHECK(handed_on() >= before + 2);
}

TEST(cut_off_host, callers_wait_where_no_host_reaches_a_target)
{
    start(4);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        cut(host, path_cut::silent);
    }
    call_for(0, 2s);
    const served here = call_for(0, 1s);
    LONGS_EQUAL(0, here.answered_);
    LONGS_EQUAL(0, here.slow_);
    const std::string refused = call(0, "/sell/7", "");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    STRCMP_CONTAINS("not-run", refused.c_str());
    STRCMP_CONTAINS("Retry-After", refused.c_str());
}

TEST(cut_off_host, a_cut_that_comes_and_goes_leaves_callers_without_answers)
{
    start(4);
    served all;
    for (int i = 0; i < 6; ++i) {
        cut(0, i % 2 == 0 ? path_cut::reset : path_cut::none);
        const served some = call_for(0, 500ms);
        all.all_ += some.all_;
        all.answered_ += some.answered_;
    }
    CHECK_TEXT(3 * all.answered_ >= 2 * all.all_,
               fmt::format("{} of {} served", all.answered_, all.all_).c_str());
}

TEST(cut_off_host, a_caller_poses_as_an_entry_host)
{
    start(2);
    const std::string answer =
        call(0, "/look/7", "Savoryscale-Caller: 10.0.0.9\r\nSavoryscale-Targets-Unreached: 1\r\n");
    STRCMP_CONTAINS("done", answer.c_str());
    for (const auto& target : targets) {
        for (const auto& [id, request] : target->runs()) {
            CHECK(request.find("Savoryscale-Caller") == std::string::npos);
            CHECK(request.find("Savoryscale-Targets-Unreached") == std::string::npos);
        }
    }
}

TEST(cut_off_host, a_request_that_is_handed_on_changes_on_the_way)
{
    start(2);
    cut(0, path_cut::reset);
    call_for(0, 300ms);
    const std::string body(60000, 'b');
    const std::string answer = call(0, "/sell/7?a=b", "X-Own: 7\r\n", body);
    CHECK(answer.ends_with("done" + body));
    CHECK(answer.find("X-Seal: s\r\n") != std::string::npos);
    int found = 0;
    for (const auto& target : targets) {
        for (const auto& [id, request] : target->runs()) {
            if (request.find("/sell/7?a=b HTTP/1.1\r\n") == std::string::npos) {
                continue;
            }
            ++found;
            STRCMP_EQUAL("7", field_of(request, "X-Own").c_str());
            STRCMP_EQUAL(id.c_str(), field_of(answer, "X-Id").c_str());
            CHECK(std::stoi(field_of(request, "X-Deadline-Ms")) <= 1000);
            CHECK(request.find("Savoryscale-Caller") == std::string::npos);
            CHECK(request.ends_with("\r\n\r\n" + body));
        }
    }
    LONGS_EQUAL(1, found);
}
