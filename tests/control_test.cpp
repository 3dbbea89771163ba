#include "store/status_record.hpp"
#include "support/control_hosts.hpp"

using namespace savoryscale;
using namespace savoryscale::membership;
using namespace savoryscale::tests;

TEST_GROUP_BASE(control, control_hosts){};

TEST(control, two_hosts_watch_the_store_and_tell_the_rest)
{
    for (int i = 0; i < 6; ++i) {
        add();
    }
    CHECK(becomes([&] { return watchers() == 2 && all_hold(1); }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
    LONGS_EQUAL(2, watchers());
    CHECK(becomes([&] {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [](const auto& host) { return host->ready_.load(); });
    }));
}

TEST(control, the_first_watcher_reports_what_each_host_holds)
{
    add();
    add();
    CHECK(becomes([&] {
        const auto record = store::parse_status_record(store_.value(store::status_key("mobile")));
        return record && record->hosts_.size() == 2 &&
               std::all_of(record->hosts_.begin(), record->hosts_.end(), [](const auto& host) {
                   return host.held_version_ == 1 && host.behind_reason_.empty();
               });
    }));
}

TEST(control, a_watcher_cut_from_the_store_is_relieved_and_still_hears_news)
{
    for (int i = 0; i < 4; ++i) {
        add();
    }
    CHECK(becomes([&] { return watchers() == 2; }));
    std::vector<entry_host*> cut;
    for (const auto& host : hosts_) {
        if (host->watches()) {
            cut.push_back(host.get());
            host->client_.down_ = true;
        }
    }
    CHECK(becomes([&] {
        return watchers() == 2 && std::none_of(cut.begin(), cut.end(),
                                               [](const auto* host) { return host->watches(); });
    }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
}

TEST(control, a_host_cut_from_everything_serves_what_it_holds)
{
    entry_host& left = add();
    CHECK(becomes([&] { return left.ready_ && left.version_ == 1; }));
    left.client_.down_ = true;
    write(2); // ends the watch under way
    const std::uint64_t calls = left.task_.counters().store_calls_;
    CHECK(becomes([&] { return left.task_.counters().store_calls_ > calls + 3; }));
    CHECK(left.ready_);
}

TEST(control, a_drain_seen_by_one_host_is_known_to_all)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(drain_seen{"photo", target_address, 0});
    CHECK(becomes([&] { return first.target_leaves() && second.target_leaves(); }));
}

TEST(control, a_suspicion_reaches_the_other_hosts_only)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(suspicion_raised{{peer::fact_kind::suspicion, "ff", 1, "t", 60}});
    CHECK(becomes([&] { return second.suspicions_ == 1; }));
    LONGS_EQUAL(0, first.suspicions_);
}

TEST(control, the_host_list_read_by_a_watcher_reaches_all)
{
    entry_host& first = add();
    entry_host& second = add(true);
    first.client_.list(
        {{"t-1", store::host_kind::target, "photo", "mobile", target_address, 5, true}});
    CHECK(becomes([&] { return first.target_leaves() && second.target_leaves(); }));
}

TEST(control, a_stopping_host_is_not_ready_and_gives_up_its_lease)
{
    entry_host& first = add();
    entry_host& second = add();
    CHECK(becomes([&] { return first.ready_ && watchers() == 2; }));
    first.task_.post(stopping{});
    CHECK(becomes([&] { return !first.ready_ && !first.watches(); }));
    CHECK(second.watches());
}

TEST(control, unused_share_is_granted_to_a_host_that_wants_more)
{
    entry_host& idle = add();
    entry_host& busy = add();
    idle.task_.post(share_demand{"probes/photo", 0});
    busy.task_.post(share_demand{"probes/photo", 50});
    CHECK(becomes([&] { return busy.share("probes/photo") == 6; }));
    CHECK(idle.share("probes/photo") <= 2);
}
