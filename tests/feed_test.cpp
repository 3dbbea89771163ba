// The directory feed between hosts: order, removed targets, restarts of the sender and encoding.

#include "directory/feed.hpp"
#include "directory/feed_client.hpp"
#include "directory/feed_server.hpp"
#include "directory/registry.hpp"
#include "peer/feed_wire.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <set>
#include <string>

using namespace savoryscale;
using namespace std::chrono_literals;
using directory::feed_page;
using directory::target_entry;

namespace {

target_entry entry(std::string id, std::string ip)
{
    target_entry made;
    made.id_ = std::move(id);
    made.service_ = "ledger";
    made.address_ = {std::move(ip), 80};
    made.data_centre_ = "mobile";
    return made;
}

// A reader that applies pages as directory_task does.
struct reader {
    directory::registry known_;
    directory::feed_position position_;

    void take(const feed_page& page, time_point now)
    {
        std::vector<target_entry> all;
        for (const auto& target : page.targets_) {
            all.push_back(target.entry_);
        }
        if (page.complete_) {
            directory::on_list(known_, all, now);
        }
        for (const auto& target : page.targets_) {
            if (target.gone_) {
                directory::on_removed(known_, target.entry_.id_, now);
            }
            else {
                directory::on_entry(known_, target.entry_);
            }
        }
        position_ = {page.epoch_, page.sequence_, page.version_};
    }
};

} // namespace

TEST_GROUP(feed)
{
    directory::feed source_feed;
    directory::registry all;
    reader other;
    time_point now = time_point{} + 100s;

    void setup() override
    {
        source_feed.epoch_ = 7;
    }

    void set_target(std::string id, std::string ip, bool leaving = false)
    {
        target_entry made = entry(std::move(id), std::move(ip));
        made.leaving_ = leaving;
        directory::on_entry(all, made);
        directory::update_targets(source_feed, all, now);
    }

    void send_page()
    {
        other.take(directory::make_page(source_feed, other.position_, now, now), now);
    }
};

TEST(feed, new_reader_gets_complete_list_then_changes)
{
    set_target("a", "10.0.0.1");
    set_target("b", "10.0.0.2");
    send_page();
    LONGS_EQUAL(2, other.known_.entries_.size());
    CHECK(!directory::has_updates(source_feed, other.position_));
    set_target("b", "10.0.0.2", true);
    CHECK(directory::has_updates(source_feed, other.position_));
    const auto page = directory::make_page(source_feed, other.position_, now, now);
    CHECK(!page.complete_);
    LONGS_EQUAL(1, page.targets_.size());
    send_page();
    CHECK(other.known_.entries_.at("b").entry_.leaving_);
}

TEST(feed, removed_target_is_reported_once)
{
    set_target("a", "10.0.0.1");
    set_target("b", "10.0.0.2");
    send_page();
    directory::on_removed(all, "a", now);
    CHECK(directory::update_targets(source_feed, all, now));
    CHECK(!directory::update_targets(source_feed, all, now));
    send_page();
    LONGS_EQUAL(0, other.known_.entries_.count("a"));
    reader late;
    late.take(directory::make_page(source_feed, late.position_, now, now), now);
    LONGS_EQUAL(1, late.known_.entries_.size());
}

// A host that missed the store for a while keeps what is missing; its readers may not have missed
// it.
TEST(feed, an_entry_that_a_host_keeps_is_gone_for_its_readers_until_it_is_listed_again)
{
    set_target("a", "10.0.0.1");
    send_page();
    directory::on_store_recovered(all, now);
    directory::on_removed(all, "a", now);
    CHECK(directory::has_missing(all));
    directory::update_targets(source_feed, all, now);
    send_page();
    LONGS_EQUAL(0, other.known_.entries_.count("a"));
    set_target("a", "10.0.0.1");
    send_page();
    LONGS_EQUAL(1, other.known_.entries_.count("a"));
}

TEST(feed, reader_from_earlier_epoch_gets_complete_list)
{
    set_target("a", "10.0.0.1");
    send_page();
    source_feed = {};
    source_feed.epoch_ = 9;
    all = {};
    set_target("c", "10.0.0.3");
    send_page();
    LONGS_EQUAL(0, other.known_.entries_.count("a"));
    LONGS_EQUAL(1, other.known_.entries_.count("c"));
}

TEST(feed, number_of_kept_removed_targets_is_bounded)
{
    for (int i = 0; i < 3000; ++i) {
        const std::string id = "t" + std::to_string(i);
        set_target(id, "10.1.0.1");
        directory::on_removed(all, id, now);
        directory::update_targets(source_feed, all, now);
    }
    CHECK(source_feed.items_.size() <= 1025);
    set_target("a", "10.0.0.1");
    send_page();
    LONGS_EQUAL(1, other.known_.entries_.size());
}

// The later server at an address is used, even if a host receives both in one page.
TEST(feed, order_of_two_servers_at_one_address_is_kept)
{
    set_target("z-older", "10.0.0.1");
    set_target("a-newer", "10.0.0.1");
    send_page();
    const auto targets = directory::targets_of(other.known_, "ledger");
    LONGS_EQUAL(1, targets.size());
    STRCMP_EQUAL("a-newer", targets.front().id_.c_str());
}

TEST(feed, remaining_warm_up_time_is_sent)
{
    target_entry cold = entry("a", "10.0.0.1");
    cold.warm_up_ = 3s;
    directory::on_entry(all, cold);
    directory::update_targets(source_feed, all, now);
    const auto page = directory::make_page(source_feed, {}, now, now + 2s);
    CHECK(page.targets_.front().entry_.warm_up_ == duration{1s});
    const auto later = directory::make_page(source_feed, {}, now, now + 5s);
    CHECK(later.targets_.front().entry_.warm_up_ == duration::zero());
}

TEST(feed, desired_state_is_sent_to_reader_with_older_version)
{
    directory::update_desired_state(source_feed, 12, "{}");
    const auto page = directory::make_page(source_feed, {7, 0, 11}, now, now);
    LONGS_EQUAL(12, page.version_);
    STRCMP_EQUAL("{}", page.document_.c_str());
    CHECK(directory::make_page(source_feed, {7, 0, 12}, now, now).document_.empty());
    CHECK(!directory::has_updates(source_feed, {7, 0, 12}));
}

TEST(feed, page_is_unchanged_by_encoding_and_decoding)
{
    set_target("a", "10.0.0.1");
    set_target("b", "10.0.0.2", true);
    directory::on_removed(all, "a", now);
    directory::update_targets(source_feed, all, now);
    directory::update_desired_state(source_feed, 3, std::string(5000, 'x'));
    source_feed.targets_revision_ = 44;
    source_feed.configuration_revision_ = 40;
    const auto page = directory::make_page(source_feed, {7, 1, 0}, now - 250ms, now);
    const std::string bytes = peer::write_feed_page(page);
    CHECK(bytes.size() < 1000);
    const auto read = peer::read_feed_page(bytes);
    CHECK(read.has_value());
    LONGS_EQUAL(page.targets_.size(), read->targets_.size());
    for (std::size_t i = 0; i < page.targets_.size(); ++i) {
        CHECK(page.targets_[i].gone_ == read->targets_[i].gone_);
        CHECK(page.targets_[i].gone_ || page.targets_[i].entry_ == read->targets_[i].entry_);
    }
    CHECK(read->document_ == page.document_);
    CHECK(read->age_ == page.age_);
    LONGS_EQUAL(44, read->targets_revision_);
    LONGS_EQUAL(40, read->configuration_revision_);
}

TEST(feed, invalid_pages_are_rejected)
{
    CHECK(!peer::read_feed_page("nonsense").has_value());
    feed_page page;
    page.document_ = std::string(std::size_t{3} << 20U, 'x');
    CHECK(!peer::read_feed_page(peer::write_feed_page(page)).has_value());
}

TEST(feed, one_odd_entry_in_a_page_hides_all_other_targets)
{
    feed_page page;
    page.targets_ = {
        {entry("a", "10.0.0.1"), false},  {entry("", "10.0.0.2"), false},
        {entry("no-address", ""), false}, {entry("no-port", "10.0.0.3"), false},
        {entry("b", "10.0.0.4"), false},  {entry("long", std::string(300, '1')), false}};
    page.targets_[3].entry_.address_.port_ = 0;
    const auto read = peer::read_feed_page(peer::write_feed_page(page));
    CHECK(read.has_value());
    LONGS_EQUAL(2, read->targets_.size());
    STRCMP_EQUAL("a", read->targets_[0].entry_.id_.c_str());
    STRCMP_EQUAL("b", read->targets_[1].entry_.id_.c_str());
    LONGS_EQUAL(4, read->rejected_targets_.size());
}

TEST(feed, position_is_unchanged_by_path_round_trip)
{
    const auto read = directory::read_feed_path(directory::feed_path({1, 22, 333}));
    CHECK(read && read->epoch_ == 1 && read->sequence_ == 22 && read->version_ == 333);
    for (const char* bad : {"/directory", "/directory?", "/directory?1.2", "/directory?1.2.x",
                            "/directory?1.2.3.4", "/directory?1,2,3", "/metrics"}) {
        CHECK(!directory::read_feed_path(bad).has_value());
    }
}

TEST(feed, hosts_spread_over_peers_and_skip_themselves)
{
    const std::vector<settings::endpoint> peers{{"10.0.0.1", 7}, {"10.0.0.2", 7}, {"10.0.0.3", 7}};
    std::set<std::string> first;
    for (int i = 0; i < 30; ++i) {
        const auto order =
            directory::peer_order(peers, {"10.0.0.9", 7}, "host-" + std::to_string(i));
        LONGS_EQUAL(3, order.size());
        first.insert(order.front().ip_);
    }
    LONGS_EQUAL(3, first.size());
    LONGS_EQUAL(2, directory::peer_order(peers, peers[1], "host-1").size());
}

// A release before the first formats sends no such list, and skips it in pages that it reads.
TEST(feed, a_page_says_whether_its_sender_follows_the_emptied_data_centres)
{
    feed_page page;
    page.epoch_ = 1;
    const std::string before = peer::write_feed_page(page);
    CHECK(!peer::read_feed_page(before)->emptied_);
    page.emptied_ = directory::emptied_data_centres{{}, 1500ms, 40};
    CHECK(peer::read_feed_page(peer::write_feed_page(page))->emptied_ == page.emptied_);
    page.emptied_->names_ = {"biloxi", "mobile"};
    const std::string after = peer::write_feed_page(page);
    CHECK(peer::read_feed_page(after)->emptied_ == page.emptied_);
    CHECK(after.starts_with(before)); // what is new comes after all that was known before
    page.emptied_->names_ = {""};
    const auto odd = peer::read_feed_page(peer::write_feed_page(page));
    CHECK(odd.has_value() && !odd->emptied_);
}

// An earlier release tells none, and an odd one says nothing.
TEST(feed, a_page_tells_how_long_its_sender_was_in_contact_with_the_store)
{
    feed_page page;
    page.epoch_ = 1;
    CHECK(!peer::read_feed_page(peer::write_feed_page(page))->contact_);
    for (const duration confirmed : {0ms, 400ms}) {
        page.contact_ = directory::contact_ago{9s, confirmed};
        CHECK(peer::read_feed_page(peer::write_feed_page(page))->contact_ == page.contact_);
    }
    page.contact_ = directory::contact_ago{1s, 2s};
    CHECK(!peer::read_feed_page(peer::write_feed_page(page))->contact_);
}
