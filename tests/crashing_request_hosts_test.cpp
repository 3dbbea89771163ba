// Several entry hosts and targets that crash when they begin to run a certain request, over real
// sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

// What the targets do at a request with "crash" in its path.
enum class behaviour : std::uint8_t { crashes, fails, answers };

// Crashes for good at such a request, and falls silent at one with "silence" in its path.
class fragile_target {
public:
    explicit fragile_target(std::atomic<int>& crashes)
        : crashes_{crashes}, server_{[this](script_connection& connection, int) {
              serve(connection);
          }}
    {
    }

    ~fragile_target()
    {
        if (crasher_.joinable()) {
            crasher_.join();
        }
    }

    fragile_target(const fragile_target&) = delete;
    fragile_target& operator=(const fragile_target&) = delete;

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    void crash()
    {
        if (!crashed_.exchange(true)) {
            crasher_ = std::thread{[this] { server_.crash(); }};
        }
    }

    [[nodiscard]] bool is_silent() const { return silent_; }

    void set_behaviour(behaviour mode) { mode_ = mode; }

private:
    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            if (request.starts_with("GET /health ")) {
                if (silent_) {
                    continue;
                }
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                continue;
            }
            if (request.find("crash") != std::string::npos && mode_ == behaviour::crashes) {
                crashes_ += crashed_ ? 0 : 1;
                crash();
                connection.wait_for_close();
                return;
            }
            if (silent_ || request.find("silence") != std::string::npos) {
                crashes_ += silent_.exchange(true) ? 0 : 1;
                connection.wait_for_close();
                return;
            }
            if (request.find("slow") != std::string::npos) {
                std::this_thread::sleep_for(300ms);
            }
            std::this_thread::sleep_for(20ms);
            const std::string fields =
                fmt::format("X-Id: {}\r\nX-Seal: s\r\n", field_of(request, "X-Id"));
            connection.send(
                mode_ == behaviour::fails
                    ? fmt::format("HTTP/1.1 500 No\r\n{}Content-Length: 0\r\n\r\n", fields)
                    : ok_answer("done", fields));
        }
    }

    std::atomic<int>& crashes_;
    std::atomic<bool> crashed_ = false;
    std::atomic<bool> silent_ = false;
    std::atomic<behaviour> mode_ = behaviour::crashes;
    std::thread crasher_;
    fake_upstream server_;
};

// Whether this holds within `longest`.
template<typename Condition>
bool eventually(const Condition& holds, std::chrono::milliseconds longest = 3s)
{
    const auto until = std::chrono::steady_clock::now() + longest;
    while (!holds() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(10ms);
    }
    return holds();
}

} // namespace

TEST_GROUP(crashing_request_hosts)
{
    std::atomic<int> crashes{0};
    scripted_store store;
    std::vector<std::unique_ptr<fragile_target>> targets;
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    // The first three hosts serve the others.
    settings::settings host_settings(int number) const
    {
        settings::settings config = directory_settings(store.port());
        config.host_.id_ = fmt::format("host-{}", number);
        config.directory_->drain_ = settings::seconds{2};
        settings::directory_feed feed{feed_address(number), {}, 30ms, {}};
        for (int each = 0; each < 3; ++each) {
            feed.hosts_.push_back(feed_address(each));
        }
        config.directory_->feed_ = feed;
        return config;
    }

    void start(int host_count, int target_count)
    {
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger"),
                                 route_json("sell", "/sell/", "unsafe", "ledger")}));
        for (int i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<fragile_target>(crashes));
            store.put("servers", fmt::format("i-{}", i), server_json(targets.back()->port()));
        }
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<running_routed_host>(host_settings(i)));
        }
        for (auto& host : hosts) {
            CHECK(host->reaches(1, targets.size()));
        }
    }

    void set_behaviour(behaviour mode)
    {
        for (auto& target : targets) {
            target->set_behaviour(mode);
        }
    }

    std::string send(std::size_t host, const std::string& path, std::uint8_t from = 1,
                     const std::string& fields = "")
    {
        static std::atomic<int> id = 0;
        test_client caller{hosts[host]->port(), 0, from};
        caller.send(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n{}\r\n", path,
                                ++id, fields));
        return caller.read_answer();
    }
};

TEST(crashing_request_hosts, a_request_that_crashes_targets_is_sent_on_by_hosts_that_saw_no_crash)
{
    start(5, 16);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        send(host, "/sell/crash");
        send(host, "/sell/crash");
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
    STRCMP_CONTAINS("not-run", send(4, "/sell/crash").c_str());
    STRCMP_CONTAINS("done", send(4, "/sell/7").c_str());
}

TEST(crashing_request_hosts, a_repeatable_request_that_crashes_targets_is_sent_on_by_other_hosts)
{
    start(5, 16);
    for (std::size_t i = 0; i < 4 * hosts.size(); ++i) {
        send(i % hosts.size(), "/look/crash");
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
}

TEST(crashing_request_hosts, a_request_of_many_callers_crashes_targets_of_each)
{
    start(5, 24);
    for (int caller = 1; caller <= 20; ++caller) {
        send(static_cast<std::size_t>(caller) % hosts.size(), "/sell/crash",
             static_cast<std::uint8_t>(caller));
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        STRCMP_CONTAINS("not-run", send(host, "/sell/crash", 40).c_str());
        STRCMP_CONTAINS("done", send(host, "/sell/7", 40).c_str());
    }
}

// Keys differ from one send of the same body to the next.
TEST(crashing_request_hosts, such_a_request_is_another_one_with_another_key)
{
    start(3, 12);
    for (int i = 0; i < 8; ++i) {
        send(0, "/sell/crash", 1, fmt::format("Idempotency-Key: {}\r\n", i));
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
}

TEST(crashing_request_hosts, a_host_that_starts_later_sends_on_a_request_that_crashed_targets)
{
    start(4, 12);
    while (crashes < 2) {
        send(3, "/sell/crash");
    }
    hosts.push_back(std::make_unique<running_routed_host>(host_settings(4)));
    CHECK(hosts.back()->reaches(1, targets.size()));
    STRCMP_CONTAINS("not-run", send(4, "/sell/crash").c_str());
    LONGS_EQUAL(2, crashes.load());
}

TEST(crashing_request_hosts, a_host_of_the_feed_that_starts_anew_sends_on_such_a_request)
{
    start(5, 12);
    while (crashes < 2) {
        send(4, "/sell/crash");
    }
    for (std::size_t restarted = 0; restarted < 3; ++restarted) {
        hosts[restarted].reset();
        hosts[restarted] =
            std::make_unique<running_routed_host>(host_settings(static_cast<int>(restarted)));
        CHECK(hosts[restarted]->reaches(1, targets.size()));
    }
    std::this_thread::sleep_for(1500ms); // the readers have found the hosts again
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        STRCMP_CONTAINS("not-run", send(host, "/sell/crash").c_str());
    }
    LONGS_EQUAL(2, crashes.load());
}

TEST(crashing_request_hosts, requests_in_flight_at_a_host_that_is_cut_off_are_suspected)
{
    start(4, 6);
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([this, i] { send(3, fmt::format("/sell/slow{}", i)); });
    }
    std::this_thread::sleep_for(150ms);
    for (auto& target : targets) {
        target->crash(); // to the host the same as a cut
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(500ms);
    hosts[3]->run([](http::http_task& task) {
        LONGS_EQUAL(0, admission::suspects_at(task.request_quarantine(), monotonic_now()).size());
    });
}

TEST(crashing_request_hosts, a_request_in_flight_beside_one_that_crashes_targets_is_refused)
{
    start(3, 6);
    std::atomic<bool> over = false;
    std::atomic<int> refused = 0;
    std::thread neighbour{[&] {
        while (!over) {
            refused += send(1, "/look/slow").find("crashed") != std::string::npos ? 1 : 0;
        }
    }};
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(100ms);
        send(0, "/sell/crash");
    }
    std::this_thread::sleep_for(700ms);
    over = true;
    neighbour.join();
    LONGS_EQUAL(0, refused.load());
    STRCMP_CONTAINS("done", send(1, "/look/slow").c_str());
}

TEST(crashing_request_hosts, an_error_of_a_target_clears_a_request_that_crashes_targets)
{
    start(1, 8);
    send(0, "/sell/crash");
    set_behaviour(behaviour::fails);
    STRCMP_CONTAINS(" 500 ", send(0, "/sell/crash").c_str());
    set_behaviour(behaviour::crashes);
    send(0, "/sell/crash");
    STRCMP_CONTAINS("not-run", send(0, "/sell/crash").c_str());
    LONGS_EQUAL(2, crashes.load());
}

TEST(crashing_request_hosts, another_callers_run_clears_a_request_that_crashes_targets)
{
    start(1, 8);
    send(0, "/sell/crash");
    set_behaviour(behaviour::answers);
    STRCMP_CONTAINS("done", send(0, "/sell/crash", 2).c_str());
    set_behaviour(behaviour::crashes);
    send(0, "/sell/crash");
    STRCMP_CONTAINS("not-run", send(0, "/sell/crash").c_str());
    LONGS_EQUAL(2, crashes.load());
}

TEST(crashing_request_hosts, a_target_that_falls_silent_and_is_replaced_leaves_no_suspicion)
{
    start(1, 3);
    const auto silent = [&] {
        return std::count_if(targets.begin(), targets.end(),
                             [](const auto& target) { return target->is_silent(); });
    };
    for (int i = 0; i < 2; ++i) {
        STRCMP_CONTAINS(" 504 ", send(0, "/sell/silence").c_str());
        for (std::size_t at = 0; at < targets.size(); ++at) {
            if (targets[at]->is_silent()) {
                auto replaced = server_json(targets[at]->port());
                replaced["born"] = 1000 + i;
                store.put("servers", fmt::format("i-{}", at), replaced);
            }
        }
        std::this_thread::sleep_for(2s);
    }
    LONGS_EQUAL(2, silent());
    STRCMP_CONTAINS("not-run", send(0, "/sell/silence").c_str());
    LONGS_EQUAL(2, silent());
}

// No host of the feed is left to tell the others (review, case 1).
TEST(crashing_request_hosts, such_a_request_is_sent_on_once_all_hosts_of_the_feed_have_left)
{
    start(7, 16);
    for (int i = 0; i < 3; ++i) {
        hosts[static_cast<std::size_t>(i)].reset();
    }
    std::this_thread::sleep_for(6s); // the others read the store themselves
    LONGS_EQUAL(0, store.writes());
    for (std::size_t i = 0; i < 12; ++i) {
        send(3 + i % 4, "/sell/crash");
        std::this_thread::sleep_for(200ms);
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
    STRCMP_CONTAINS("done", send(4, "/sell/7").c_str());
}

// No host is left that remembers (review, case 5).
TEST(crashing_request_hosts, such_a_request_is_sent_on_after_all_hosts_were_killed)
{
    start(4, 12);
    LONGS_EQUAL(0, store.writes());
    while (crashes < 2) {
        send(3, "/sell/crash");
    }
    for (int i = 0; i < 300 && store.count("suspicions") == 0; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    hosts.clear();
    for (int i = 0; i < 4; ++i) {
        hosts.push_back(std::make_unique<running_routed_host>(host_settings(i)));
    }
    for (auto& host : hosts) {
        CHECK(host->reaches(1, targets.size()));
    }
    std::this_thread::sleep_for(300ms);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        STRCMP_CONTAINS("not-run", send(host, "/sell/crash").c_str());
    }
    LONGS_EQUAL(2, crashes.load());
}

// The store is away when the targets crash, and all hosts are killed some time later.
TEST(crashing_request_hosts, such_a_request_is_kept_once_the_store_is_back)
{
    start(3, 12);
    store.set_unavailable(true);
    while (crashes < 2) {
        send(0, "/sell/crash");
    }
    std::this_thread::sleep_for(4500ms);
    LONGS_EQUAL(0, store.count("suspicions"));
    store.set_unavailable(false);
    CHECK(eventually([&] { return store.count("suspicions") == 1; }, 4s));
}

// Another host, which these do not hear, has stored crashes of its own.
TEST(crashing_request_hosts, crashes_stored_by_another_host_are_overwritten)
{
    start(3, 12);
    while (crashes < 2) {
        send(0, "/sell/crash");
    }
    CHECK(eventually([&] { return store.count("suspicions") == 1; }));
    std::this_thread::sleep_for(1s); // the writes of the other hosts
    const std::string name = store.names("suspicions").front();
    auto value = store.value("suspicions", name);
    value["crashes"] = value["crashes"].get<std::string>() + ",other-1#1,other-2#1";
    store.put("suspicions", name, value);
    std::this_thread::sleep_for(8s); // until the request may run once more
    for (int i = 0; i < 300 && crashes < 3; ++i) {
        send(0, "/sell/crash");
        std::this_thread::sleep_for(10ms);
    }
    LONGS_EQUAL(3, crashes);
    std::this_thread::sleep_for(3s);
    const auto stored = store.value("suspicions", name)["crashes"].get<std::string>();
    STRCMP_CONTAINS("other-1#1,other-2#1", stored.c_str());
    LONGS_EQUAL(5, std::count(stored.begin(), stored.end(), '#'));
}

// Another host may have replaced it since it was read.
TEST(crashing_request_hosts, an_outdated_object_is_removed_whatever_it_holds_by_then)
{
    store.put("suspicions", "00000000000000a7", {{"crashes", "a#1,b#1"}, {"until_ms", 1}});
    start(3, 1);
    CHECK(eventually([&] { return store.count("suspicions") == 0; }));
    LONGS_EQUAL(0, store.unconditional_writes());
}

// The store comes back from a copy that is older than the crashes.
TEST(crashing_request_hosts, a_restored_store_lacks_such_a_request)
{
    start(3, 12);
    store.keep_copy();
    while (crashes < 2) {
        send(0, "/sell/crash");
    }
    const auto is_stored = [&] { return store.count("suspicions") > 0; };
    CHECK(eventually(is_stored));
    std::this_thread::sleep_for(1s); // the writes of the other hosts
    store.restore();
    LONGS_EQUAL(0, store.count("suspicions"));
    CHECK(eventually(is_stored));
}
