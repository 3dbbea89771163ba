// Follows one kind of the store's objects: pages, watches, lost history and outages.

#include "directory/follow.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace std::chrono_literals;
using directory::stored_object;

namespace {

stored_object named(std::string name)
{
    stored_object object;
    object.name_ = std::move(name);
    return object;
}

} // namespace

TEST_GROUP(follow)
{
    directory::follow_state state;
    random_source random{3};
    time_point now = time_point{} + 50s;

    void list_all(std::uint64_t revision)
    {
        directory::on_list_page(state, {{named("a")}, false, revision}, now);
    }
};

TEST(follow, reads_all_pages_and_watches_from_revision_of_first)
{
    auto first = directory::on_list_page(state, {{named("a"), named("b")}, true, 10}, now);
    CHECK(!first.complete_);
    STRCMP_EQUAL("b", directory::next_call(state, now).after_.c_str());
    const auto last = directory::on_list_page(state, {{named("c")}, false, 14}, now);
    CHECK(last.complete_);
    LONGS_EQUAL(3, last.objects_.size());
    const auto watch = directory::next_call(state, now);
    CHECK(watch.watch_);
    LONGS_EQUAL(10, watch.revision_);
}

TEST(follow, pauses_after_update_but_not_after_empty_watch)
{
    state.options_.pause_ = 1s;
    list_all(10);
    CHECK(state.due_ == now + 1s);
    directory::on_changes(state, {{named("a")}, 12}, now);
    CHECK(state.due_ == now + 1s);
    directory::on_changes(state, {{}, 12}, now);
    CHECK(state.due_ == now);
}

TEST(follow, watch_revision_never_decreases)
{
    list_all(10);
    directory::on_changes(state, {{named("a")}, 12}, now);
    directory::on_changes(state, {{named("a")}, 11}, now);
    LONGS_EQUAL(12, directory::next_call(state, now).revision_);
}

// The first list may be stale, so the watch that brings it up to date follows at once and has a
// short wait.
TEST(follow, stale_list_is_brought_up_to_date_at_once)
{
    state.options_.allow_stale_first_list_ = true;
    state.options_.pause_ = 1s;
    CHECK(directory::next_call(state, now).allow_stale_);
    list_all(10);
    CHECK(state.due_ == now);
    CHECK(directory::next_call(state, now).wait_ < 1s);
    directory::on_changes(state, {{named("a")}, 12}, now);
    CHECK(state.due_ == now + 1s);
    CHECK(directory::next_call(state, now).wait_ == state.options_.wait_);
}

// A host that restarts must not use a target that has left since the stale list, also when the
// store goes away before it confirms the list.
TEST(follow, stale_list_is_held_back_until_it_is_up_to_date)
{
    state.options_.allow_stale_first_list_ = true;
    const auto stale = directory::on_list_page(
        state, {{named("a"), named("left"), named("moved")}, false, 10}, now);
    CHECK(!stale.complete_);
    LONGS_EQUAL(0, stale.objects_.size());
    stored_object left = named("left");
    left.removed_ = true;
    stored_object moved = named("moved");
    moved.revision_ = 12;
    const auto current = directory::on_changes(state, {{left, moved, named("new")}, 12}, now);
    CHECK(current.complete_);
    LONGS_EQUAL(3, current.objects_.size());
    STRCMP_EQUAL("a", current.objects_[0].name_.c_str());
    STRCMP_EQUAL("moved", current.objects_[1].name_.c_str());
    LONGS_EQUAL(12, current.objects_[1].revision_);
    STRCMP_EQUAL("new", current.objects_[2].name_.c_str());
    CHECK(!directory::on_changes(state, {{}, 12}, now).complete_);
}

// Two copies of the store answer in turn: the second page is older than the first, and lacks that
// one of its objects has left since (review, case 3).
TEST(follow, stale_pages_of_two_moments_lack_no_change)
{
    const std::string names = "abcd";
    for (std::size_t oldest = 0; oldest < names.size(); ++oldest) {
        state = directory::follow_state{};
        state.options_.allow_stale_first_list_ = true;
        for (std::size_t page = 0; page < names.size(); ++page) {
            const std::uint64_t revision = page == oldest ? 10 : 14;
            directory::on_list_page(
                state, {{named(names.substr(page, 1))}, page + 1 < names.size(), revision}, now);
        }
        const auto watch = directory::next_call(state, now);
        CHECK(watch.watch_);
        LONGS_EQUAL(10, watch.revision_);
        stored_object left = named(names.substr(oldest, 1));
        left.removed_ = true;
        const auto current = directory::on_changes(state, {{left}, 14}, now);
        CHECK(current.complete_);
        LONGS_EQUAL(names.size() - 1, current.objects_.size());
    }
}

// What such a list lacks has not left: the store decodes the name of a page in its own way.
TEST(follow, a_list_that_does_not_move_on_is_not_whole)
{
    const auto is_whole = [&](const std::vector<std::string>& pages) {
        state = directory::follow_state{};
        bool complete = false;
        for (const std::string& names : pages) {
            directory::list_page page{{}, true, 10};
            for (const char name : names) {
                page.objects_.push_back(named(std::string(1, name)));
            }
            complete |= directory::on_list_page(state, page, now).complete_;
        }
        return complete || state.listed_;
    };
    CHECK(!is_whole({"ab", "ab"}));
    CHECK(!is_whole({"ab", "ac", "ab"}));
    CHECK(!is_whole({"ab", ""}));
    CHECK(!is_whole({""}));
    CHECK(!is_whole({"&", "&"}));
}

// Names that share the beginning of a longer one up to its limit are as long, and of no use.
TEST(follow, a_long_name_skips_names_that_can_be_used)
{
    for (const std::string& name :
         {std::string(9000, 'y'), std::string(255, 'y') + "\xc3\xa4z", std::string(9000, '\x80')}) {
        state = directory::follow_state{};
        directory::on_list_page(state, {{named(name)}, true, 10}, now);
        const std::string after = directory::next_call(state, now).after_;
        CHECK(after > name);
        CHECK(after.size() < 300);
        CHECK(after.starts_with(name.substr(0, directory::name_max_bytes)));
    }
}

// Otherwise each host repeats the first page of a list that cannot be read some 60 times a second.
TEST(follow, lists_whose_second_page_fails_follow_each_other_without_a_pause)
{
    state.options_.later_backoff_min_ = 200ms;
    for (int i = 0; i < 6; ++i) {
        directory::on_list_page(state, {{named("a")}, true, 10}, now);
        directory::on_call_failed(state, now, random);
        CHECK(i == 0 || state.due_ - now >= 200ms);
    }
    directory::on_list_page(state, {{named("a")}, true, 10}, now);
    const auto whole = directory::on_list_page(state, {{named("b")}, false, 10}, now + 3s);
    CHECK(whole.outage_duration_ == 3s);
    LONGS_EQUAL(0, state.failures_);
}

TEST(follow, stale_list_is_not_used_when_its_watch_fails)
{
    state.options_.allow_stale_first_list_ = true;
    list_all(10);
    directory::on_call_failed(state, now, random);
    const auto current = directory::on_list_page(state, {{named("b")}, false, 14}, now);
    CHECK(current.complete_);
    LONGS_EQUAL(1, current.objects_.size());
    STRCMP_EQUAL("b", current.objects_[0].name_.c_str());
}

// In an outage of 8 s, each of hundreds of hosts that have peers may call a few times only, and it
// calls again soon after one lost answer.
TEST(follow, host_with_peers_calls_seldom_in_an_outage)
{
    state.options_.backoff_max_ = 2400ms;
    state.options_.later_backoff_min_ = 2400ms;
    for (const int hosts : {3, 30, 300, 1000}) {
        int calls = 0;
        for (int host = 0; host < hosts; ++host) {
            directory::resume_from(state, {0, 5}, std::nullopt);
            time_point at = now;
            while (at < now + 8s) {
                ++calls;
                directory::on_call_failed(state, at, random);
                if (state.failures_ == 1) {
                    CHECK(state.due_ - at <= 50ms);
                }
                at = state.due_;
            }
        }
        CHECK(calls <= 8 * hosts);
    }
    const auto backoff_after_success = [&] {
        directory::on_list_page(state, {{named("a")}, false, 14}, now);
        directory::on_call_failed(state, now, random);
        return state.due_ - now;
    };
    CHECK(backoff_after_success() <= 50ms);
}

// If the store no longer has the history after a stale list, or a call failed, only an up-to-date
// list helps.
TEST(follow, stale_list_is_not_requested_again_after_failure)
{
    state.options_.allow_stale_first_list_ = true;
    list_all(10);
    directory::on_history_gone(state, now);
    CHECK(!directory::next_call(state, now).allow_stale_);
    list_all(20);
    CHECK(state.confirmed_);
    directory::on_call_failed(state, now, random);
    CHECK(!directory::next_call(state, now).allow_stale_);
}

// A store that had lost its history left a watch from an old revision waiting (Calloway, scale-1).
TEST(follow, list_is_read_again_after_failed_watch)
{
    list_all(10);
    directory::on_call_failed(state, now, random);
    CHECK(!directory::next_call(state, now).watch_);
}

TEST(follow, list_is_read_at_once_after_lost_history)
{
    list_all(10);
    directory::on_history_gone(state, now);
    CHECK(!directory::next_call(state, now).watch_);
    CHECK(state.due_ == now);
}

TEST(follow, pages_before_and_after_failure_are_not_combined)
{
    directory::on_list_page(state, {{named("a")}, true, 10}, now);
    directory::on_call_failed(state, now, random);
    STRCMP_EQUAL("", directory::next_call(state, now).after_.c_str());
    const auto update = directory::on_list_page(state, {{named("b")}, false, 11}, now);
    LONGS_EQUAL(1, update.objects_.size());
}

TEST(follow, backoff_is_bounded_and_outage_duration_is_reported)
{
    list_all(10);
    for (int i = 0; i < 20; ++i) {
        directory::on_call_failed(state, now, random);
        CHECK(state.due_ > now);
        CHECK(state.due_ <= now + state.options_.backoff_max_);
        now = state.due_;
    }
    now += 1s;
    const auto update = directory::on_list_page(state, {{named("a")}, false, 20}, now);
    CHECK(update.outage_duration_.has_value());
    CHECK(*update.outage_duration_ > 1s);
    list_all(21);
    CHECK(!directory::on_changes(state, {{}, 22}, now).outage_duration_.has_value());
}

// The store lost its history and closed the watch. The next watch, from the list read after that,
// missed a change that came 13 ms later until its wait was over.
TEST(follow, waits_are_short_for_a_while_after_failed_watch)
{
    list_all(10);
    directory::on_changes(state, {{}, 10}, now);
    CHECK(directory::next_call(state, now).wait_ == state.options_.wait_);
    directory::on_call_failed(state, now, random);
    list_all(12);
    CHECK(directory::next_call(state, now).watch_);
    CHECK(directory::next_call(state, now).wait_ <= 700ms);
    now += 6s;
    CHECK(directory::next_call(state, now).wait_ <= 700ms);
    now += 20s;
    CHECK(directory::next_call(state, now).wait_ == state.options_.wait_);
    directory::on_history_gone(state, now);
    list_all(15);
    CHECK(directory::next_call(state, now).wait_ <= 700ms);
}

TEST(follow, a_revision_of_another_era_is_taken_for_a_place_in_the_new_history)
{
    CHECK(!directory::is_from_other_era(state, 0));
    directory::on_list_page(state, {{named("a")}, false, 10, 1}, now);
    CHECK(!directory::is_from_other_era(state, 1));
    CHECK(!directory::is_from_other_era(state, 0));
    CHECK(directory::is_from_other_era(state, 2));
    directory::resume_from(state, {3, 20}, std::nullopt);
    CHECK(directory::is_from_other_era(state, 4));
    directory::resume_from(state, {0, 20}, std::nullopt);
    CHECK(directory::is_from_other_era(state, 4));
    CHECK(!directory::is_from_other_era(state, 0));
}

TEST(follow, pages_of_two_eras_are_combined_into_one_list)
{
    directory::on_list_page(state, {{named("a")}, true, 10, 1}, now);
    const auto later = directory::on_list_page(state, {{named("b")}, false, 8, 2}, now);
    CHECK(!later.complete_);
    STRCMP_EQUAL("", directory::next_call(state, now).after_.c_str());
    CHECK(!directory::next_call(state, now).watch_);
    const auto again = directory::on_list_page(state, {{named("b")}, false, 9, 2}, now);
    CHECK(again.complete_);
    LONGS_EQUAL(1, again.objects_.size());
}

TEST(follow, an_answer_of_an_era_that_has_ended_replaces_newer_data)
{
    directory::store_era era;
    using directory::era_change;
    CHECK(on_era_heard(era, 1, now, now) == era_change::changed);
    CHECK(on_era_heard(era, std::nullopt, now, now + 1s) == era_change::none);
    CHECK(on_era_heard(era, 2, now + 1s, now + 2s) == era_change::changed);
    CHECK(on_era_heard(era, 1, now + 1s, now + 3s) == era_change::outdated);
    LONGS_EQUAL(2, era.value_);
    CHECK(on_era_heard(era, 1, now + 3s, now + 4s) == era_change::changed);
    LONGS_EQUAL(1, era.value_);
}

TEST(follow, an_era_that_is_no_number_is_read)
{
    LONGS_EQUAL(12, *directory::read_store_era("12"));
    for (const char* text : {"", "0", "-1", "x", "1x", " 1", "1.5", "99999999999999999999999"}) {
        CHECK_TEXT(!directory::read_store_era(text).has_value(), text);
    }
}

TEST(follow, an_answer_is_overtaken_by_what_another_host_tells_while_its_call_is_in_progress)
{
    const auto at = [](std::uint64_t revision, int second) {
        return directory::known_revision{revision, time_point{} + std::chrono::seconds{second}};
    };
    CHECK(directory::is_overtaken(at(14, 100), at(15, 101)));
    CHECK(!directory::is_overtaken(at(15, 100), at(15, 101)));
    CHECK_TEXT(!directory::is_overtaken(at(14, 102), at(15, 101)), "a store that came back");
}
