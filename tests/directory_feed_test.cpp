// Entry hosts that get directory data from each other instead of the store, over real sockets.

#include "support/relay.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <optional>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;

namespace {

constexpr std::chrono::seconds drain{1};

// Settings of a host that serves peers and requests data from the peers at `ports`.
settings::settings feed_settings(std::uint16_t store_port, const std::vector<std::uint16_t>& ports,
                                 double drain_s = 1)
{
    settings::settings config = directory_settings(store_port);
    config.directory_->drain_ = settings::seconds{drain_s};
    settings::directory_feed feed{{"127.0.0.1", 0}, {}, std::chrono::seconds{2}, {}};
    for (const std::uint16_t port : ports) {
        feed.hosts_.push_back({"127.0.0.1", port});
    }
    config.directory_->feed_ = feed;
    return config;
}

} // namespace

TEST_GROUP(directory_feed)
{
    scripted_store store;       // of the serving host
    scripted_store other_store; // of the reading host; nothing is published there

    void setup() override
    {
        other_store.set_unavailable(true);
        store.put("servers", "i-1", server_json(1001));
        publish(1);
    }

    void publish(std::uint64_t version)
    {
        store.put("config", "main",
                  state_json(version, {route_json("look", "/look/", "safe", "ledger")}));
    }
};

TEST(directory_feed, host_without_store_follows_peer)
{
    running_routed_host serving_host{feed_settings(store.port(), {})};
    running_routed_host reading_host{feed_settings(other_store.port(), {serving_host.feed_port()})};
    CHECK(reading_host.reaches(1, 1));
    store.put("servers", "i-2", server_json(1002));
    CHECK(reading_host.reaches(1, 2));
    publish(4);
    CHECK(reading_host.reaches(4, 2));
    store.remove("servers", "i-1");
    CHECK(reading_host.reaches(4, 1));
}

TEST(directory_feed, store_is_not_called_while_peer_sends_updates)
{
    running_routed_host serving_host{feed_settings(store.port(), {})};
    CHECK(serving_host.reaches(1, 1));
    running_routed_host reading_host{feed_settings(other_store.port(), {serving_host.feed_port()})};
    CHECK(reading_host.reaches(1, 1));
    for (std::uint64_t version = 2; version < 6; ++version) {
        publish(version);
        CHECK(reading_host.reaches(version, 1));
    }
    LONGS_EQUAL(0, other_store.calls());
}

// A host that starts together with its peers waits for their first response.
TEST(directory_feed, early_request_is_answered_once_data_is_available)
{
    store.set_unavailable(true);
    running_routed_host serving_host{feed_settings(store.port(), {})};
    running_routed_host reading_host{feed_settings(other_store.port(), {serving_host.feed_port()})};
    store.set_unavailable(false);
    CHECK(reading_host.reaches(1, 1));
}

TEST(directory_feed, when_peer_stops_store_is_followed_from_known_revision)
{
    auto serving_host = std::make_unique<running_routed_host>(feed_settings(store.port(), {}));
    running_routed_host reading_host{feed_settings(store.port(), {serving_host->feed_port()}, 0.2)};
    CHECK(reading_host.reaches(1, 1));
    serving_host.reset();
    store.put("servers", "i-2", server_json(1002));
    publish(2);
    CHECK(reading_host.reaches(2, 2));
}

TEST(directory_feed, peer_with_older_data_is_ignored)
{
    scripted_store outdated_store; // its revisions are lower
    outdated_store.put("config", "main",
                       state_json(1, {route_json("look", "/look/", "safe", "ledger")}));
    for (int i = 0; i < 9; ++i) {
        publish(2 + static_cast<std::uint64_t>(i));
    }
    running_routed_host outdated_host{feed_settings(outdated_store.port(), {})};
    CHECK(outdated_host.reaches(1, 0));
    auto serving_host = std::make_unique<running_routed_host>(feed_settings(store.port(), {}));
    running_routed_host reading_host{feed_settings(
        other_store.port(), {serving_host->feed_port(), outdated_host.feed_port()}, 0.2)};
    CHECK(reading_host.reaches(10, 1));
    serving_host.reset();
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK(reading_host.reaches(10, 1));
}

// An entry may have expired while the store was away, or its target has left. Only the host that
// missed the store may wait to see which; its readers did not miss it.
TEST(directory_feed,
     a_target_that_leaves_once_its_host_regains_the_store_leaves_the_readers_in_time)
{
    tests::relay path{store.port()};
    running_routed_host serving_host{feed_settings(path.port(), {})};
    running_routed_host reading_host{feed_settings(store.port(), {serving_host.feed_port()})};
    CHECK(reading_host.reaches(1, 1));
    path.set_cut(tests::path_cut::reset);
    std::this_thread::sleep_for(std::chrono::seconds{3});
    path.set_cut(tests::path_cut::none);
    store.put("servers", "i-2", server_json(1002));
    CHECK(serving_host.reaches(1, 2));
    CHECK(reading_host.reaches(1, 2));
    store.remove("servers", "i-1");
    const auto removed_at = std::chrono::steady_clock::now();
    CHECK(reading_host.reaches(1, 1));
    CHECK(std::chrono::steady_clock::now() - removed_at < drain);
}

TEST(directory_feed, a_host_that_was_cut_off_alone_keeps_no_target_that_left)
{
    running_routed_host other_host{feed_settings(store.port(), {})};
    tests::relay path{store.port()};
    tests::relay peer_path{other_host.feed_port()};
    running_routed_host cut_host{feed_settings(path.port(), {peer_path.port()})};
    running_routed_host reading_host{feed_settings(other_store.port(), {cut_host.feed_port()})};
    CHECK(reading_host.reaches(1, 1));
    for (tests::relay* each : {&path, &peer_path}) {
        each->set_cut(tests::path_cut::reset);
    }
    std::this_thread::sleep_for(std::chrono::seconds{4});
    for (tests::relay* each : {&path, &peer_path}) {
        each->set_cut(tests::path_cut::none);
    }
    store.put("servers", "i-2", server_json(1002));
    CHECK(cut_host.reaches(1, 2));
    store.remove("servers", "i-1");
    const auto removed_at = std::chrono::steady_clock::now();
    CHECK(cut_host.reaches(1, 1));
    CHECK(std::chrono::steady_clock::now() - removed_at < drain);
}

// In doubt whether the store was away or itself, a host neither finishes the backoff of its failed
// requests to peers nor lets a peer hold its request until there is news.
TEST(directory_feed, a_host_in_doubt_of_its_cut_asks_its_peers_at_once)
{
    constexpr double short_drain_s = 0.4; // the longest backoff is at least 0.5 s
    running_routed_host other_host{feed_settings(store.port(), {}, short_drain_s)};
    scripted_store refusing_peer;
    refusing_peer.set_unavailable(true);
    tests::relay path{store.port()};
    tests::relay peer_path{other_host.feed_port()};
    running_routed_host cut_host{
        feed_settings(path.port(), {refusing_peer.port(), peer_path.port()}, short_drain_s)};
    running_routed_host reading_host{
        feed_settings(other_store.port(), {cut_host.feed_port()}, short_drain_s)};
    CHECK(reading_host.reaches(1, 1));
    for (tests::relay* each : {&path, &peer_path}) {
        each->set_cut(tests::path_cut::reset);
    }
    std::this_thread::sleep_for(std::chrono::seconds{4});
    store.refuse_kind("config"); // without it the host still needs its peers
    path.set_cut(tests::path_cut::none);
    store.put("servers", "i-2", server_json(1002));
    CHECK(cut_host.reaches(1, 2));
    const int refused = refusing_peer.calls();
    while (refusing_peer.calls() == refused) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    peer_path.set_cut(tests::path_cut::none);
    store.remove("servers", "i-1");
    const auto removed_at = std::chrono::steady_clock::now();
    CHECK(cut_host.reaches(1, 1));
    CHECK(std::chrono::steady_clock::now() - removed_at <
          std::chrono::duration<double>{short_drain_s});
}

// The readers learn of the outage from the feed and keep the entries that expired in it.
TEST(directory_feed, readers_keep_entries_that_expired_while_the_store_was_away)
{
    running_routed_host serving_host{feed_settings(store.port(), {})};
    running_routed_host reading_host{feed_settings(other_store.port(), {serving_host.feed_port()})};
    CHECK(reading_host.reaches(1, 1));
    store.set_unavailable(true);
    std::this_thread::sleep_for(std::chrono::seconds{4});
    store.remove("servers", "i-1");
    publish(2);
    store.set_unavailable(false);
    CHECK(serving_host.reaches(2, 1));
    CHECK(reading_host.reaches(2, 1));
    store.put("servers", "i-1", server_json(1001));
    std::this_thread::sleep_for(std::chrono::seconds{3});
    CHECK(reading_host.reaches(2, 1));
    store.remove("servers", "i-1");
    CHECK(reading_host.reaches(2, 0));
}

// A list that the store made before a target left arrives after another host has told of that.
TEST(directory_feed, a_list_that_another_host_has_overtaken_brings_no_target_back)
{
    store.put("servers", "i-2", server_json(1002));
    running_routed_host other_host{feed_settings(store.port(), {})};
    tests::relay path{store.port()};
    running_routed_host slow_host{feed_settings(path.port(), {other_host.feed_port()})};
    running_routed_host reading_host{feed_settings(other_store.port(), {slow_host.feed_port()})};
    CHECK(reading_host.reaches(1, 2));
    path.set_cut(tests::path_cut::reset);
    std::this_thread::sleep_for(std::chrono::seconds{1}); // it reads from the other host now
    store.delay_lists(std::chrono::milliseconds{700});
    const int lists = store.lists();
    path.set_cut(tests::path_cut::none);
    while (store.lists() == lists) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    store.remove("servers", "i-1");
    CHECK(slow_host.reaches(1, 1));
    for (int i = 0; i < 120; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
        std::size_t targets = 0;
        slow_host.run([&](http::http_task& task) { targets = task.target_count("ledger"); });
        LONGS_EQUAL(1, targets);
    }
}
