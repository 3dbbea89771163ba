// Targets as the store lists them: outages, restarts and reused addresses.

#include "directory/registry.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace std::chrono_literals;
using directory::target_entry;

namespace {

target_entry entry(std::string id, std::string ip, std::string service = "ledger")
{
    target_entry made;
    made.id_ = std::move(id);
    made.service_ = std::move(service);
    made.address_ = {std::move(ip), 80};
    made.data_centre_ = "mobile";
    return made;
}

} // namespace

TEST_GROUP(registry)
{
    directory::registry all;
    time_point now = time_point{} + 100s;

    std::size_t usable(std::string_view service = "ledger")
    {
        std::size_t count = 0;
        for (const auto& info : directory::targets_of(all, service)) {
            count += info.leaving_ ? 0 : 1;
        }
        return count;
    }

    void list(const std::vector<target_entry>& entries)
    {
        directory::on_list(all, entries, now);
    }
};

TEST(registry, a_target_that_starts_again_under_its_id_is_listed_with_its_start_time)
{
    target_entry started = entry("i-1", "10.0.0.1");
    for (const std::uint64_t born_ms : {1000, 3000}) {
        started.born_ms_ = born_ms;
        list({started});
        LONGS_EQUAL(born_ms, directory::targets_of(all, "ledger").at(0).born_ms_);
    }
}

TEST(registry, entry_missing_from_list_is_removed_at_once)
{
    list({entry("i-1", "10.0.0.1"), entry("i-2", "10.0.0.2")});
    list({entry("i-1", "10.0.0.1")});
    LONGS_EQUAL(1, usable());
}

TEST(registry, missing_entries_are_kept_for_grace_period_after_outage)
{
    list({entry("i-1", "10.0.0.1"), entry("i-2", "10.0.0.2")});
    directory::on_store_recovered(all, now);
    list({});
    LONGS_EQUAL(2, usable());
    now += 1s;
    directory::on_entry(all, entry("i-1", "10.0.0.1"));
    const auto next = directory::expire(all, now);
    CHECK(next.has_value());
    LONGS_EQUAL(2, usable());
    now = *next;
    CHECK(!directory::expire(all, now).has_value());
    LONGS_EQUAL(1, usable());
}

TEST(registry, entry_leaving_before_outage_is_not_kept)
{
    target_entry leaving = entry("i-1", "10.0.0.1");
    leaving.leaving_ = true;
    list({leaving});
    directory::on_store_recovered(all, now);
    directory::on_removed(all, "i-1", now);
    LONGS_EQUAL(0, directory::targets_of(all, "ledger").size());
}

TEST(registry, restart_under_same_id_is_new_incarnation)
{
    target_entry first = entry("i-1", "10.0.0.1");
    first.born_ms_ = 1000;
    list({first});
    const std::uint64_t before = directory::targets_of(all, "ledger")[0].incarnation_;
    first.born_ms_ = 2000;
    directory::on_entry(all, first);
    CHECK(directory::targets_of(all, "ledger")[0].incarnation_ > before);
}

TEST(registry, only_latest_server_at_an_address_is_used)
{
    list({entry("i-1", "10.0.0.1")});
    directory::on_entry(all, entry("i-9", "10.0.0.1", "photos"));
    LONGS_EQUAL(0, usable("ledger"));
    LONGS_EQUAL(1, usable("photos"));
    CHECK(all.changed_services_.count("ledger") > 0);
}

TEST(registry, an_entry_of_an_unknown_service_replaces_none_until_the_service_is_named)
{
    list({entry("i-1", "10.0.0.1")});
    directory::on_services_named(all, {"ledger"});
    directory::on_entry(all, entry("i-9", "10.0.0.1", "photos"));
    LONGS_EQUAL(1, usable("ledger"));
    all.changed_services_.clear();
    directory::on_services_named(all, {"ledger", "photos"});
    CHECK(all.changed_services_.count("ledger") > 0);
    LONGS_EQUAL(0, usable("ledger"));
    LONGS_EQUAL(1, usable("photos"));
}

TEST(registry, records_joined_leaving_and_gone_targets)
{
    list({entry("i-1", "10.0.0.1")});
    target_entry leaving = entry("i-1", "10.0.0.1");
    leaving.leaving_ = true;
    directory::on_entry(all, leaving);
    directory::on_entry(all, leaving);
    directory::on_removed(all, "i-1", now);
    LONGS_EQUAL(3, all.pending_events_.size());
    CHECK(all.pending_events_[0].change_ == directory::target_change::joined);
    CHECK(all.pending_events_[1].change_ == directory::target_change::leaving);
    CHECK(all.pending_events_[2].change_ == directory::target_change::gone);
}

TEST(registry, unchanged_entry_changes_nothing)
{
    list({entry("i-1", "10.0.0.1")});
    all.changed_services_.clear();
    directory::on_entry(all, entry("i-1", "10.0.0.1"));
    CHECK(all.changed_services_.empty());
}

TEST(registry, missing_entries_are_gone_once_the_outage_is_disproved)
{
    list({entry("i-1", "10.0.0.1"), entry("i-2", "10.0.0.2")});
    directory::on_store_recovered(all, now);
    directory::on_removed(all, "i-1", now);
    LONGS_EQUAL(2, usable());
    directory::on_outage_disproved(all);
    LONGS_EQUAL(1, usable());
    directory::on_removed(all, "i-2", now);
    LONGS_EQUAL(0, usable());
}
