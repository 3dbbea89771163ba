// Whether the store was away, or only the host that asks: spans of contact from this host and its
// peers.

#include "directory/store_contact.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace savoryscale;
using namespace std::chrono_literals;
using directory::contact_change;

TEST_GROUP(store_contact)
{
    directory::store_contact contact;

    contact_change hear(duration begun, duration confirmed_at)
    {
        return directory::on_contact(contact, {time_point{} + begun, time_point{} + confirmed_at});
    }

    duration begun() const
    {
        return contact.current_->begun_ - time_point{};
    }
};

TEST(store_contact, a_short_gap_is_none)
{
    hear(100s, 101s);
    CHECK(hear(103s, 104s) == contact_change::none);
    CHECK(begun() == 100s);
}

TEST(store_contact, a_gap_that_no_peer_fills_is_an_outage)
{
    hear(100s, 101s);
    CHECK(hear(105s, 105s) == contact_change::regained);
    CHECK(hear(105s, 106s) == contact_change::none);
    CHECK_TEXT(hear(105100ms, 106s) == contact_change::none, "a peer that was cut off as well");
    CHECK(begun() == 105s);
}

TEST(store_contact, a_peer_in_contact_during_the_gap_fills_it)
{
    hear(100s, 101s);
    hear(105s, 105s);
    CHECK(hear(90s, 106s) == contact_change::filled);
    CHECK(begun() == 90s);
    CHECK(hear(90s, 107s) == contact_change::none);
}

// What a peer confirmed before the gap says nothing about the gap.
TEST(store_contact, a_late_page_of_before_the_gap_fills_nothing)
{
    hear(100s, 101s);
    hear(105s, 105s);
    CHECK(hear(90s, 102s) == contact_change::none);
    CHECK(begun() == 105s);
}

TEST(store_contact, a_peer_that_is_behind_but_was_in_contact_bridges_the_gap)
{
    hear(100s, 101s);
    hear(107s, 107s);
    CHECK(hear(102s, 105s) == contact_change::filled);
}

TEST(store_contact, a_gap_is_not_filled_once_the_store_has_lost_data)
{
    hear(100s, 101s);
    hear(105s, 105s);
    directory::on_data_lost(contact);
    CHECK(hear(90s, 106s) == contact_change::none);
}
