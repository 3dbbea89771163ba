// The data centres that are to be emptied: which list a host believes, and where its requests go.

#include "directory/emptied.hpp"
#include "directory/feed.hpp"
#include "directory/feed_page.hpp"
#include "directory/follow.hpp"
#include "routing/placement.hpp"
#include "routing/service_view.hpp"

#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;
using directory::emptied_list;
using names = std::vector<std::string>;

namespace {

directory::follow_update update_of(const names& added, const names& removed, bool complete)
{
    directory::follow_update update;
    update.complete_ = complete;
    for (const std::string& name : added) {
        update.objects_.push_back({name, 1, 1, false, nlohmann::json::object()});
    }
    for (const std::string& name : removed) {
        update.objects_.push_back({name, 1, 1, true, {}});
    }
    return update;
}

// A view of a host's own subset, over `targets` targets in three data centres.
routing::service_view view_of(int host, int targets, time_point now)
{
    settings::service service;
    routing::service_view view = routing::make_view(service, "a", routing::policy::probed);
    view.own_id_ = "host-" + std::to_string(host);
    view.subset_max_ = 48;
    std::vector<routing::target_info> all;
    for (int i = 0; i < targets; ++i) {
        routing::target_info info;
        info.address_ = {"10.0.0." + std::to_string(i), 80};
        info.data_centre_ = std::string(1, static_cast<char>('a' + i % 3));
        info.incarnation_ = 1;
        info.slots_ = 2;
        all.push_back(info);
    }
    routing::update_targets(view, all, now);
    return view;
}

} // namespace

TEST_GROUP(emptied)
{
    time_point now = time_point{} + 100s;
    std::optional<emptied_list> known;

    bool hear(const directory::follow_update& update, std::uint64_t revision)
    {
        auto list = directory::list_after_update(known, update, revision, now);
        known = list ? list : known;
        return list.has_value();
    }

    bool hear_page(const names& listed, std::uint64_t revision, duration age)
    {
        auto list = directory::list_after_page(
            known, directory::emptied_data_centres{listed, age, revision}, now);
        known = list ? list : known;
        return list.has_value();
    }
};

TEST(emptied, changes_count_only_once_the_whole_list_is_known)
{
    CHECK(!hear(update_of({"b"}, {}, false), 10));
    CHECK(hear(update_of({"c", "a"}, {}, true), 11));
    CHECK((known->names_ == names{"a", "c"}));
    CHECK(hear(update_of({"b"}, {"a", "never-listed"}, false), 14));
    CHECK((known->names_ == names{"b", "c"}));
}

// Emptied, taken back and emptied again within one answer of the store.
TEST(emptied, last_change_of_a_name_counts)
{
    CHECK(hear(update_of({}, {}, true), 10));
    directory::follow_update update = update_of({"a"}, {"a"}, false);
    CHECK(hear(update, 12));
    CHECK(known->names_.empty());
    update.objects_.push_back(update.objects_.front());
    CHECK(hear(update, 13));
    CHECK(known->names_ == names{"a"});
}

TEST(emptied, older_list_is_not_believed_and_confirms_nothing)
{
    CHECK(hear(update_of({"a"}, {}, true), 20));
    now += 1s;
    CHECK(!hear(update_of({}, {}, true), 19));
    CHECK(!hear_page({}, 19, 0ms));
    CHECK(known->names_ == names{"a"});
    CHECK(known->confirmed_at_ == now - 1s);
    CHECK(!directory::list_after_page(known, std::nullopt, now));
    CHECK(hear_page({}, 21, 300ms));
    CHECK(known->names_.empty());
    CHECK(known->confirmed_at_ == now - 300ms);
}

TEST(emptied, a_page_of_the_same_revision_never_makes_the_list_older)
{
    CHECK(hear(update_of({"a"}, {}, true), 20));
    CHECK(hear_page({"a"}, 20, 900ms));
    CHECK(known->confirmed_at_ == now);
}

TEST(emptied, names_that_pages_do_not_carry_are_left_out)
{
    CHECK(hear(update_of({std::string(257, 'x'), "", "b"}, {}, true), 20));
    CHECK(known->names_ == names{"b"});
}

// A list that the peers do not keep up is asked for before the bound of 5 s ends, whatever the age
// of the other data.
TEST(emptied, host_asks_the_store_when_its_peers_list_is_old)
{
    directory::source_state targets;
    targets.has_peers_ = true;
    targets.started_ = now - 60s;
    targets.peer_as_of_ = now + 1h;
    directory::emptied_source own;
    own.peer_as_of_ = now;
    const auto state = directory::source_of(own, targets, 5s);
    CHECK(!directory::is_store_needed(state, now + 2900ms));
    CHECK(directory::is_store_needed(state, now + 3100ms));
    CHECK(directory::next_source_check(state, now) == now + 3s);
    own.peer_as_of_.reset(); // of an earlier release
    CHECK(directory::is_store_needed(directory::source_of(own, targets, 5s), now));
}

TEST(emptied, readers_are_told_of_a_change_and_of_the_age)
{
    directory::feed feed;
    feed.epoch_ = 7;
    const directory::feed_position reader{7, feed.sequence_, 0};
    CHECK(!directory::make_page(feed, reader, now, now).emptied_);
    CHECK(directory::update_emptied(feed, {{}, 3, now}));
    CHECK(directory::has_updates(feed, reader));
    const directory::feed_position at_list{7, feed.sequence_, 0};
    CHECK(!directory::update_emptied(feed, {{}, 4, now + 1s}));
    CHECK(!directory::has_updates(feed, at_list));
    CHECK(directory::update_emptied(feed, {{"a"}, 5, now + 1s}));
    CHECK(directory::has_updates(feed, at_list));
    const auto page = directory::make_page(feed, at_list, now, now + 1400ms);
    CHECK(page.emptied_ == (directory::emptied_data_centres{{"a"}, 400ms, 5}));
    directory::set_store_era(feed, 2);
    LONGS_EQUAL(0, feed.emptied_->revision_);
    CHECK(feed.emptied_->names_ == names{"a"});
}

TEST(emptied, targets_get_nothing_new_and_keep_their_state)
{
    routing::service_view view = view_of(1, 6, now);
    random_source random{3};
    routing::on_attempt_started(view, 0, now);
    view.targets_[0].failure_ratio_ = 0.5;
    const std::vector<routing::probed_target> probed{{0, routing::load_report{}},
                                                     {3, routing::load_report{}}};
    CHECK(routing::place(view, probed, {}, now, random).has_value());
    routing::set_emptied(view, names{"a"}, now);
    CHECK(!routing::place(view, probed, {}, now, random));
    CHECK(!routing::has_free_target(view, probed, now));
    for (const auto index : routing::probe_candidates(view, {}, 6, true, now, random)) {
        CHECK(view.targets_[index].info_.data_centre_ != "a");
    }
    routing::set_emptied(view, names{"a", "b", "c"}, now);
    CHECK(!routing::has_eligible_target(view));
    CHECK(!routing::place_unprobed(view, {}, now, random));
    routing::set_emptied(view, {}, now);
    LONGS_EQUAL(1, view.targets_[0].in_flight_);
    DOUBLES_EQUAL(0.5, view.targets_[0].failure_ratio_, 1e-9);
    LONGS_EQUAL(6, routing::eligible_targets(view, {}).size());
}

// The load of an emptied data centre moves to the others without a herd: hosts choose other targets
// for their subsets evenly, and each keeps as many as before.
TEST(emptied, hosts_spread_over_the_targets_that_are_left)
{
    for (const int hosts : {13, 126, 1000}) {
        std::map<routing::target_index, int> users;
        for (int host = 0; host < hosts; ++host) {
            routing::service_view view = view_of(host, 333, now);
            routing::set_emptied(view, names{"a"}, now);
            LONGS_EQUAL(48, view.subset_.size());
            for (const auto index : routing::eligible_targets(view, {})) {
                CHECK(view.targets_[index].info_.data_centre_ != "a");
                ++users[index];
            }
        }
        const double mean = hosts * 48.0 / 222;
        for (const auto& [index, count] : users) {
            CHECK(count < mean + 5 * std::sqrt(mean) + 1);
        }
    }
}
