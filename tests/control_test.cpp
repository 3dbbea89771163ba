#include "store/status_record.hpp"
#include "support/control_hosts.hpp"

using namespace savoryscale;
using namespace savoryscale::membership;
using namespace savoryscale::tests;

TEST_GROUP_BASE(control, control_hosts){};

TEST(control, two_hosts_watch_the_store_and_inform_the_others)
{
    for (int i = 0; i < 6; ++i) {
        add();
    }
    CHECK(eventually([&] { return watchers() == 2 && all_hold(1); }));
    write(2);
    CHECK(eventually([&] { return all_hold(2); }));
    LONGS_EQUAL(2, watchers());
    CHECK(eventually([&] {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [](const auto& host) { return host->ready_.load(); });
    }));
}

TEST(control, the_first_watcher_reports_what_each_host_holds)
{
    add();
    add();
    CHECK(eventually([&] {
        const auto record = store::parse_status_record(store_.value(store::status_key("mobile")));
        return record && record->hosts_.size() == 2 &&
               std::all_of(record->hosts_.begin(), record->hosts_.end(), [](const auto& host) {
                   return host.held_version_ == 1 && host.behind_reason_.empty();
               });
    }));
}

TEST(control, a_watcher_that_loses_the_store_is_replaced_and_still_receives_updates)
{
    for (int i = 0; i < 4; ++i) {
        add();
    }
    CHECK(eventually([&] { return watchers() == 2; }));
    std::vector<entry_host*> disconnected;
    for (const auto& host : hosts_) {
        if (host->holds_lease()) {
            disconnected.push_back(host.get());
            host->client_.down_ = true;
        }
    }
    CHECK(eventually([&] {
        return watchers() == 2 &&
               std::none_of(disconnected.begin(), disconnected.end(),
                            [](const auto* host) { return host->holds_lease(); });
    }));
    write(2);
    CHECK(eventually([&] { return all_hold(2); }));
}

TEST(control, a_host_without_store_and_peers_keeps_serving_its_configuration)
{
    entry_host& left = add();
    CHECK(eventually([&] { return left.ready_ && left.version_ == 1; }));
    left.client_.down_ = true;
    write(2); // ends the watch in progress
    const std::uint64_t calls = left.task_.counters().store_calls_;
    CHECK(eventually([&] { return left.task_.counters().store_calls_ > calls + 3; }));
    CHECK(left.ready_);
}

TEST(control, a_drain_seen_by_one_host_is_known_to_all)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(drain_seen{"photo", target_address, 0});
    CHECK(eventually([&] { return first.is_target_leaving() && second.is_target_leaving(); }));
}

TEST(control, a_suspicion_reaches_the_other_hosts_only)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(suspicion_raised{{peer::fact_kind::suspicion, "ff", 1, "t", 60}});
    CHECK(eventually([&] { return second.suspicions_ == 1; }));
    LONGS_EQUAL(0, first.suspicions_);
}

TEST(control, the_host_list_read_by_a_watcher_reaches_all)
{
    entry_host& first = add();
    entry_host& second = add(true);
    first.client_.set_hosts(
        {{"t-1", store::host_kind::target, "photo", "mobile", target_address, 5, true}});
    CHECK(eventually([&] { return first.is_target_leaving() && second.is_target_leaving(); }));
}

TEST(control, a_stopping_host_is_not_ready_and_gives_up_its_lease)
{
    entry_host& first = add();
    entry_host& second = add();
    CHECK(eventually([&] { return first.ready_ && watchers() == 2; }));
    first.task_.post(stopping{});
    CHECK(eventually([&] { return !first.ready_ && !first.holds_lease(); }));
    CHECK(second.holds_lease());
}

TEST(control, unused_share_is_granted_to_a_host_with_more_demand)
{
    entry_host& idle = add();
    entry_host& busy = add();
    idle.task_.post(share_demand{"probes/photo", 0});
    busy.task_.post(share_demand{"probes/photo", 50});
    CHECK(eventually([&] { return busy.share("probes/photo") == 6; }));
    CHECK(idle.share("probes/photo") <= 2);
}
