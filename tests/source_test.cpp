// The source of a host's directory data: the store, or a peer that asks the store.

#include "directory/source.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace savoryscale;
using namespace std::chrono_literals;

TEST_GROUP(source)
{
    directory::source_state state;
    time_point now = time_point{} + 100s;

    void setup() override
    {
        state.options_ = {1200ms, 300ms, 4s};
        state.has_peers_ = true;
        state.started_ = now;
    }
};

TEST(source, host_without_peers_asks_store)
{
    state.has_peers_ = false;
    CHECK(directory::is_store_needed(state, now));
    CHECK(!directory::is_peer_needed(state, now));
}

TEST(source, configured_source_asks_store_and_no_peer_while_store_responds)
{
    state.is_configured_source_ = true;
    CHECK(directory::is_store_needed(state, now));
    state.store_as_of_ = now;
    now += 1s;
    CHECK(!directory::is_peer_needed(state, now));
    now += 1s;
    CHECK(directory::is_peer_needed(state, now));
    CHECK(directory::is_store_needed(state, now));
}

TEST(source, other_hosts_ask_peer_and_not_store)
{
    CHECK(!directory::is_store_needed(state, now));
    CHECK(directory::is_peer_needed(state, now));
    state.peer_as_of_ = now;
    now += 1100ms;
    CHECK(!directory::is_store_needed(state, now));
}

TEST(source, store_is_asked_when_patience_ends_without_peer_response)
{
    CHECK(directory::next_source_check(state, now) == now + 300ms);
    now += 300ms;
    CHECK(directory::is_store_needed(state, now));
    CHECK(directory::is_peer_needed(state, now));
}

TEST(source, host_asks_store_while_peer_data_is_too_old)
{
    state.peer_as_of_ = now;
    CHECK(directory::next_source_check(state, now) == now + 300ms);
    now += 300ms;
    CHECK(directory::next_source_check(state, now) == now + 900ms);
    now += 900ms;
    CHECK(directory::is_store_needed(state, now));
    CHECK(directory::is_peer_needed(state, now));
    state.store_as_of_ = now;
    CHECK(directory::as_of(state) == now);
    state.peer_as_of_ = now;
    CHECK(!directory::is_store_needed(state, now));
}

// Two hosts that ask only each other would never receive new data.
TEST(source, host_asks_store_for_a_while_after_peer_request)
{
    state.peer_as_of_ = now;
    state.last_peer_request_ = now;
    CHECK(directory::is_store_needed(state, now));
    now += 4s;
    state.peer_as_of_ = now;
    CHECK(!directory::is_store_needed(state, now));
}
