// Targets as the store lists them, over outages, restarts and addresses that are used again.

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

TEST(registry, what_is_missing_from_a_list_is_gone_at_once)
{
    list({entry("i-1", "10.0.0.1"), entry("i-2", "10.0.0.2")});
    list({entry("i-1", "10.0.0.1")});
    LONGS_EQUAL(1, usable());
}

TEST(registry, after_an_outage_missing_entries_are_kept_until_their_targets_could_be_back)
{
    list({entry("i-1", "10.0.0.1"), entry("i-2", "10.0.0.2")});
    directory::on_store_returned(all, now);
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

TEST(registry, one_that_was_leaving_before_an_outage_is_not_kept)
{
    target_entry leaving = entry("i-1", "10.0.0.1");
    leaving.leaving_ = true;
    list({leaving});
    directory::on_store_returned(all, now);
    directory::on_removed(all, "i-1", now);
    LONGS_EQUAL(0, directory::targets_of(all, "ledger").size());
}

TEST(registry, a_restart_under_the_same_id_is_a_new_server)
{
    target_entry first = entry("i-1", "10.0.0.1");
    first.born_ms_ = 1000;
    list({first});
    const std::uint64_t before = directory::targets_of(all, "ledger")[0].incarnation_;
    first.born_ms_ = 2000;
    directory::on_entry(all, first);
    CHECK(directory::targets_of(all, "ledger")[0].incarnation_ > before);
}

TEST(registry, an_address_belongs_to_the_latest_server_there)
{
    list({entry("i-1", "10.0.0.1")});
    directory::on_entry(all, entry("i-9", "10.0.0.1", "photos"));
    LONGS_EQUAL(0, usable("ledger"));
    LONGS_EQUAL(1, usable("photos"));
    CHECK(all.changed_.count("ledger") > 0);
}

TEST(registry, tells_who_joined_is_leaving_and_is_gone)
{
    list({entry("i-1", "10.0.0.1")});
    target_entry leaving = entry("i-1", "10.0.0.1");
    leaving.leaving_ = true;
    directory::on_entry(all, leaving);
    directory::on_entry(all, leaving);
    directory::on_removed(all, "i-1", now);
    LONGS_EQUAL(3, all.news_.size());
    CHECK(all.news_[0].change_ == directory::target_change::joined);
    CHECK(all.news_[1].change_ == directory::target_change::leaving);
    CHECK(all.news_[2].change_ == directory::target_change::gone);
}

TEST(registry, an_unchanged_entry_changes_nothing)
{
    list({entry("i-1", "10.0.0.1")});
    all.changed_.clear();
    directory::on_entry(all, entry("i-1", "10.0.0.1"));
    CHECK(all.changed_.empty());
}
