// Entry hosts whose store comes back from an older copy and gives out revisions again, over real
// sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

TEST_GROUP(restored_store)
{
    scripted_store store;
    scripted_store no_store; // answers no call

    void setup() override
    {
        no_store.set_unavailable(true);
        put_target(1);
        publish(1);
    }

    void publish(std::uint64_t version)
    {
        store.put("config", "main",
                  state_json(version, {route_json("look", "/look/", "safe", "ledger")}));
    }

    void put_target(int number)
    {
        store.put("servers", fmt::format("i-{}", number),
                  server_json(static_cast<std::uint16_t>(1000 + number)));
    }

    void remove_target(int number)
    {
        store.remove("servers", fmt::format("i-{}", number));
    }

    static settings::settings host_settings(
        std::uint16_t store_port, const std::vector<std::uint16_t>& peers, double drain_s = 2)
    {
        settings::settings config = directory_settings(store_port);
        config.directory_->drain_ = settings::seconds{drain_s};
        settings::directory_feed feed{{"127.0.0.1", 0}, {}, 30ms, {}};
        for (const std::uint16_t port : peers) {
            feed.hosts_.push_back({"127.0.0.1", port});
        }
        config.directory_->feed_ = feed;
        return config;
    }
};

TEST(restored_store, a_change_is_missed_by_a_host_that_asks_after_its_revision_was_given_out_again)
{
    auto serving = std::make_unique<running_routed_host>(host_settings(store.port(), {}));
    running_routed_host reading{host_settings(store.port(), {serving->feed_port()})};
    CHECK(reading.reaches(1, 1));
    store.keep_copy();
    publish(2);
    put_target(2);
    put_target(3);
    CHECK(reading.reaches(2, 3));
    serving.reset();
    store.restore();
    publish(4);
    put_target(2);
    remove_target(1);
    CHECK(reading.reaches(4, 1));
}

TEST(restored_store, a_change_is_missed_between_two_watches)
{
    running_routed_host host{host_settings(store.port(), {})};
    CHECK(host.reaches(1, 1));
    store.keep_copy();
    put_target(2);
    put_target(3);
    CHECK(host.reaches(1, 3));
    store.restore();
    remove_target(1);
    put_target(4);
    CHECK(host.reaches(1, 1));
}

TEST(restored_store, a_change_is_missed_by_a_watch_that_is_not_cut)
{
    running_routed_host host{host_settings(store.port(), {}, 0.05)};
    CHECK(host.reaches(1, 1));
    store.keep_copy();
    publish(2);
    put_target(2);
    put_target(3);
    CHECK(host.reaches(2, 3));
    std::this_thread::sleep_for(200ms);
    store.restore(false);
    publish(3);
    remove_target(1);
    CHECK(host.reaches(3, 0));
}

TEST(restored_store, pages_of_a_host_with_newer_data_are_refused_for_their_lower_revision)
{
    auto serving = std::make_unique<running_routed_host>(host_settings(store.port(), {}));
    store.keep_copy();
    for (int i = 2; i < 12; ++i) {
        put_target(i);
    }
    CHECK(serving->reaches(1, 11));
    running_routed_host next{host_settings(store.port(), {serving->feed_port()}, 0.3)};
    running_routed_host reading{
        host_settings(no_store.port(), {serving->feed_port(), next.feed_port()}, 0.3)};
    CHECK(reading.reaches(1, 11));
    serving.reset();
    store.restore();
    publish(3);
    CHECK(next.reaches(3, 1));
    CHECK(reading.reaches(3, 1));
}

TEST(restored_store, a_lost_version_is_not_in_force_on_a_host_that_starts)
{
    running_routed_host serving{host_settings(store.port(), {})};
    store.keep_copy();
    publish(7);
    CHECK(serving.reaches(7, 1));
    store.restore();
    running_routed_host starting{host_settings(store.port(), {serving.feed_port()})};
    CHECK(starting.reaches(7, 1));
    CHECK(serving.reaches(7, 1));
    publish(7);
    publish(9);
    CHECK(starting.reaches(9, 1));
}

TEST(restored_store, a_second_restoration_is_taken_for_the_first)
{
    auto serving = std::make_unique<running_routed_host>(host_settings(store.port(), {}));
    running_routed_host reading{host_settings(store.port(), {serving->feed_port()})};
    store.keep_copy();
    put_target(2);
    CHECK(reading.reaches(1, 2));
    serving.reset();
    for (std::uint64_t version = 2; version < 4; ++version) {
        store.restore();
        publish(version);
        put_target(static_cast<int>(version) + 3);
    }
    CHECK(reading.reaches(3, 2));
}

TEST(restored_store, an_era_that_falls_or_is_no_number_makes_a_host_deaf)
{
    store.name_era("7");
    running_routed_host host{host_settings(store.port(), {}, 0.05)};
    CHECK(host.reaches(1, 1));
    std::uint64_t version = 2;
    for (const char* era : {"3", "", "x", "-1", "99999999999999999999999", "0", "2"}) {
        store.name_era(era);
        publish(version);
        CHECK_TEXT(host.reaches(version, 1), era);
        ++version;
    }
}
