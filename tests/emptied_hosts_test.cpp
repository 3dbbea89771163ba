// Hosts that follow the data centres to be emptied, over real sockets to a store, peers and
// targets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <memory>

using namespace savoryscale;
using namespace savoryscale::testing;

namespace {

constexpr std::string_view lookup = "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n";

// A target that counts the requests it runs; answers to them wait while it is held.
class counting_target {
public:
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    std::atomic<int> requests_ = 0;
    std::atomic<bool> held_ = false;

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
            ++requests_;
            while (held_) {
                std::this_thread::sleep_for(std::chrono::milliseconds{5});
            }
            connection.send(
                ok_answer("done", "X-Id: " + field_of(request, "X-Id") + "\r\nX-Seal: s\r\n"));
        }
    }

    fake_upstream server_{[this](script_connection& connection, int) { serve(connection); }};
};

int status_of(std::uint16_t port)
{
    test_client caller{port};
    caller.send(lookup);
    const std::string answer = caller.read_answer();
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

nlohmann::json target_in(std::string_view data_centre, std::uint16_t port)
{
    nlohmann::json entry = server_json(port);
    entry["zone"] = data_centre;
    return entry;
}

// Sends requests until `done`, for 6 s at most. Returns whether it came to that.
bool send_until(std::uint16_t port, const std::function<bool(int status)>& done)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{6};
    while (std::chrono::steady_clock::now() < end) {
        if (done(status_of(port))) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(emptied_hosts)
{
    scripted_store store;
    scripted_store other_store; // of hosts that cannot reach the store
    std::array<counting_target, 2> targets;

    void setup() override
    {
        other_store.set_unavailable(true);
        store.put("servers", "i-1", target_in("mobile", targets[0].port()));
        store.put("servers", "i-2", target_in("biloxi", targets[1].port()));
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger")}));
    }

    static settings::settings settings_of(std::uint16_t store_port,
                                          const std::vector<std::uint16_t>& peers = {},
                                          double evacuation_s = 1)
    {
        settings::settings config = directory_settings(store_port);
        config.directory_->drain_ = settings::seconds{1};
        config.directory_->evacuation_ = settings::seconds{evacuation_s};
        settings::directory_feed feed{{"127.0.0.1", 0}, {}, std::chrono::seconds{2}, {}};
        for (const std::uint16_t port : peers) {
            feed.hosts_.push_back({"127.0.0.1", port});
        }
        config.directory_->feed_ = feed;
        return config;
    }

    // Whether only this target gets requests, from now on.
    bool only_uses(std::uint16_t host, std::size_t used)
    {
        const int before = targets[1 - used].requests_;
        for (int i = 0; i < 40; ++i) {
            if (status_of(host) != 200) {
                return false;
            }
        }
        return targets[1 - used].requests_ == before;
    }

    bool uses_both(std::uint16_t host)
    {
        const std::array<int, 2> before{targets[0].requests_, targets[1].requests_};
        return send_until(host, [&](int) {
            return targets[0].requests_ > before[0] && targets[1].requests_ > before[1];
        });
    }

    // Sends requests until the target has got none for 40 in a row.
    bool comes_to_use_only(std::uint16_t host, std::size_t used)
    {
        for (int i = 0; i < 100; ++i) {
            if (only_uses(host, used)) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return false;
    }
};

TEST(emptied_hosts, requests_go_elsewhere_until_it_is_taken_back)
{
    running_routed_host host{settings_of(store.port())};
    CHECK(host.reaches(1, 2));
    CHECK(uses_both(host.port()));
    store.put("evacuations", "mobile", nlohmann::json::object());
    CHECK(comes_to_use_only(host.port(), 1));
    store.remove("evacuations", "mobile");
    CHECK(uses_both(host.port()));
    store.put("evacuations", "mobile", {{"reason", 7}}); // another writer's
    store.put("evacuations", "no-such-place", nlohmann::json::array());
    CHECK(comes_to_use_only(host.port(), 1));
}

TEST(emptied_hosts, host_that_cannot_reach_the_store_hears_it_from_its_peer)
{
    running_routed_host serving{settings_of(store.port())};
    running_routed_host reading{settings_of(other_store.port(), {serving.feed_port()})};
    CHECK(reading.reaches(1, 2));
    CHECK(uses_both(reading.port()));
    store.put("evacuations", "biloxi", nlohmann::json::object());
    CHECK(comes_to_use_only(reading.port(), 0));
    LONGS_EQUAL(0, other_store.calls());
}

// A source of an earlier release sends no list.
TEST(emptied_hosts, host_whose_peer_sends_no_list_follows_the_store_itself)
{
    running_routed_host serving{settings_of(store.port(), {}, 0)};
    running_routed_host reading{settings_of(store.port(), {serving.feed_port()})};
    CHECK(reading.reaches(1, 2));
    store.put("evacuations", "mobile", nlohmann::json::object());
    CHECK(comes_to_use_only(reading.port(), 1));
}

TEST(emptied_hosts, without_a_bound_nothing_is_followed)
{
    running_routed_host host{settings_of(store.port(), {}, 0)};
    CHECK(host.reaches(1, 2));
    store.put("evacuations", "mobile", nlohmann::json::object());
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    CHECK(uses_both(host.port()));
}

TEST(emptied_hosts, store_that_forgets_its_history_is_read_again)
{
    running_routed_host host{settings_of(store.port())};
    CHECK(host.reaches(1, 2));
    store.put("evacuations", "mobile", nlohmann::json::object());
    CHECK(comes_to_use_only(host.port(), 1));
    store.keep_copy();
    store.put("evacuations", "biloxi", nlohmann::json::object());
    CHECK(send_until(host.port(), [](int status) { return status == 503; }));
    store.restore(false); // the copy has no entry for the second one
    CHECK(comes_to_use_only(host.port(), 1));
}

TEST(emptied_hosts, known_list_stays_while_the_store_is_down)
{
    running_routed_host host{settings_of(store.port())};
    CHECK(host.reaches(1, 2));
    store.put("evacuations", "mobile", nlohmann::json::object());
    CHECK(comes_to_use_only(host.port(), 1));
    store.set_unavailable(true);
    std::this_thread::sleep_for(std::chrono::milliseconds{1500}); // beyond the bound
    CHECK(only_uses(host.port(), 1));
    store.set_unavailable(false);
    store.remove("evacuations", "mobile");
    CHECK(uses_both(host.port()));
}

// What runs there ends; a service without another target refuses at once, as not run.
TEST(emptied_hosts, request_under_way_ends_and_new_ones_are_refused)
{
    targets[0].held_ = targets[1].held_ = true;
    running_routed_host host{settings_of(store.port())};
    CHECK(host.reaches(1, 2));
    test_client waiting{host.port()};
    waiting.send(lookup);
    while (targets[0].requests_ + targets[1].requests_ == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    store.put("evacuations", "mobile", nlohmann::json::object());
    store.put("evacuations", "biloxi", nlohmann::json::object());
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    const auto started = std::chrono::steady_clock::now();
    LONGS_EQUAL(503, status_of(host.port()));
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::milliseconds{500});
    targets[0].held_ = targets[1].held_ = false;
    CHECK(waiting.read_answer().starts_with("HTTP/1.1 200"));
    LONGS_EQUAL(1, targets[0].requests_ + targets[1].requests_);
}
