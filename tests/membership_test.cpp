#include "membership/host_view.hpp"
#include "membership/target_view.hpp"
#include "peer/wire.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::membership;
using std::chrono::seconds;

namespace {

const settings::endpoint address{"10.0.0.1", 80};

store::listed_host listed(std::uint64_t incarnation, bool leaving)
{
    return {"t", store::host_kind::target, "photo", "mobile", address, incarnation, leaving};
}

settings::service photo(bool with_target)
{
    settings::service service;
    service.name_ = "photo";
    if (with_target) {
        service.targets_ = {{address, "mobile"}};
    }
    return service;
}

peer::host_state state_of(std::size_t data_centre, std::size_t region, std::uint16_t port)
{
    peer::host_state state;
    state.data_centre_ = "dc-" + std::to_string(data_centre);
    state.region_ = "region-" + std::to_string(region);
    state.address_ = {"10.1.0.1", port};
    return state;
}

// The intended fleet size: ten data centres in three regions, 13 hosts in each data centre.
std::map<std::string, peer::host_state> large_fleet()
{
    std::map<std::string, peer::host_state> hosts;
    for (std::size_t i = 0; i < 130; ++i) {
        const std::size_t data_centre = i % 10;
        hosts["host-" + std::to_string(i)] =
            state_of(data_centre, data_centre % 3, static_cast<std::uint16_t>(1000 + i));
    }
    return hosts;
}

// The number of hosts reachable from the first host over at most `links` links. Links carry
// messages in both directions.
std::size_t count_reachable(const std::map<std::string, peer::host_state>& hosts, int links)
{
    std::map<std::uint16_t, std::set<std::uint16_t>> neighbours;
    for (const auto& [id, state] : hosts) {
        for (const auto& link : choose_links({id, hosts})) {
            neighbours[state.address_.port_].insert(link.address_.port_);
            neighbours[link.address_.port_].insert(state.address_.port_);
        }
    }
    std::set<std::uint16_t> seen{hosts.begin()->second.address_.port_};
    for (int i = 0; i < links; ++i) {
        const std::set<std::uint16_t> frontier = seen;
        for (const std::uint16_t each : frontier) {
            seen.insert(neighbours[each].begin(), neighbours[each].end());
        }
    }
    return seen.size();
}

} // namespace

TEST_GROUP(target_view)
{
    target_view view_ = make_target_view({photo(true)});
    time_point now_{};

    routing::target_info only()
    {
        const auto infos = targets_of(view_, "photo");
        LONGS_EQUAL(1, infos.size());
        return infos.front();
    }
};

TEST(target_view, starts_with_the_configured_targets)
{
    CHECK(only().address_ == address);
    CHECK_FALSE(only().leaving_);
    LONGS_EQUAL(1, view_.changed_.count("photo"));
    CHECK(targets_of(view_, "other").empty());
}

TEST(target_view, a_target_leaves_when_the_host_list_says_so)
{
    on_host_list(view_, {listed(1, true)});
    CHECK(only().leaving_);
}

TEST(target_view, a_target_leaves_by_a_peers_drain_fact_although_the_list_lags)
{
    on_host_list(view_, {listed(3, false)});
    on_drain_fact(view_,
                  {peer::fact_kind::target_drain, "photo/10.0.0.1:80", 3U << 16 | 1, "", 30});
    on_host_list(view_, {listed(3, false)});
    CHECK(only().leaving_);
}

TEST(target_view, a_target_leaves_by_its_own_signal_and_the_peers_are_informed)
{
    on_host_list(view_, {listed(3, false)});
    const auto drain = on_drain_seen(view_, "photo", address, 3, now_);
    CHECK(only().leaving_);
    target_view other = make_target_view({photo(true)});
    on_host_list(other, {listed(3, false)});
    on_drain_fact(other, drain.value());
    CHECK(targets_of(other, "photo").front().leaving_);
}

TEST(target_view, a_higher_incarnation_is_a_new_target)
{
    on_host_list(view_, {listed(3, false)});
    const auto drain = on_drain_seen(view_, "photo", address, 3, now_);
    on_host_list(view_, {listed(4, false)});
    CHECK_FALSE(only().leaving_);
    LONGS_EQUAL(4, only().incarnation_);
    on_drain_fact(view_, drain.value());
    CHECK_FALSE(only().leaving_);
    CHECK_FALSE(on_drain_seen(view_, "photo", address, 3, now_).has_value());
}

TEST(target_view, an_older_copy_of_the_list_reverts_nothing)
{
    on_host_list(view_, {listed(4, false)});
    on_host_list(view_, {listed(3, true)});
    LONGS_EQUAL(4, only().incarnation_);
    CHECK_FALSE(only().leaving_);
}

TEST(target_view, an_empty_list_changes_nothing)
{
    target_view view = make_target_view({photo(false)});
    on_host_list(view, {listed(1, false)});
    on_host_list(view, {});
    LONGS_EQUAL(1, targets_of(view, "photo").size());
    store::listed_host other = listed(1, false);
    other.address_.port_ = 81;
    on_host_list(view, {other});
    LONGS_EQUAL(81, targets_of(view, "photo").front().address_.port_);
}

TEST(target_view, a_drain_is_published_again_only_in_the_second_half_of_its_lifetime)
{
    const auto first = on_drain_seen(view_, "photo", address, 0, now_);
    CHECK_FALSE(on_drain_seen(view_, "photo", address, 0, now_ + seconds{14}).has_value());
    const auto again = on_drain_seen(view_, "photo", address, 0, now_ + seconds{15});
    CHECK(again->version_ > first->version_);
    on_drain_expired(view_, *first);
    CHECK(only().leaving_);
}

TEST(target_view, a_target_without_incarnations_is_new_when_its_drain_has_expired)
{
    const auto drain = on_drain_seen(view_, "photo", address, 0, now_);
    on_drain_expired(view_, *drain);
    CHECK_FALSE(only().leaving_);
    LONGS_EQUAL(1, only().incarnation_);
    CHECK(on_drain_seen(view_, "photo", address, 1, now_).has_value());
    CHECK(only().leaving_);
}

TEST_GROUP(host_view){};

TEST(host_view, a_host_is_known_until_its_fact_expires)
{
    host_view view{"self", {}};
    const peer::fact host_fact{peer::fact_kind::host, "other", 1, encode(state_of(0, 0, 1)), 90};
    CHECK(on_host_fact(view, host_fact));
    LONGS_EQUAL(1, view.hosts_.size());
    on_host_expired(view, host_fact);
    LONGS_EQUAL(0, view.hosts_.size());
    CHECK_FALSE(on_host_fact(view, {peer::fact_kind::host, "other", 2, "\xff", 90}));
}

TEST(host_view, few_hosts_of_each_data_centre_contend_for_leases)
{
    const auto hosts = large_fleet();
    std::map<std::string, int> contenders;
    for (const auto& [id, state] : hosts) {
        contenders[state.data_centre_] += is_watch_contender({id, hosts}) ? 1 : 0;
    }
    LONGS_EQUAL(10, contenders.size());
    for (const auto& [data_centre, count] : contenders) {
        LONGS_EQUAL(4, count);
    }
}

TEST(host_view, lease_holders_rank_first_and_hosts_without_the_store_last)
{
    std::map<std::string, peer::host_state> hosts;
    for (std::size_t i = 0; i < 13; ++i) {
        hosts["host-" + std::to_string(i)] = state_of(0, 0, static_cast<std::uint16_t>(i));
    }
    for (auto& [id, state] : hosts) {
        const bool before = is_watch_contender({id, hosts});
        state.watching_ = true;
        CHECK(is_watch_contender({id, hosts}));
        state.watching_ = false;
        state.store_lost_ = true;
        CHECK_FALSE(is_watch_contender({id, hosts}));
        state.store_lost_ = false;
        state.leaving_ = true;
        CHECK_FALSE(is_watch_contender({id, hosts}));
        state.leaving_ = false;
        CHECK_EQUAL(before, is_watch_contender({id, hosts}));
    }
}

TEST(host_view, links_are_few_and_connect_all_hosts)
{
    const auto hosts = large_fleet();
    for (const auto& [id, state] : hosts) {
        CHECK(choose_links({id, hosts}).size() <= 4 + 3 + 2);
    }
    LONGS_EQUAL(hosts.size(), count_reachable(hosts, 8));
}

TEST(host_view, only_bridges_hold_links_to_other_data_centres)
{
    const auto hosts = large_fleet();
    std::map<std::string, std::set<std::string>> bridges;
    for (const auto& [id, state] : hosts) {
        for (const auto& link : choose_links({id, hosts})) {
            const auto to = std::find_if(hosts.begin(), hosts.end(), [&](const auto& each) {
                return each.second.address_ == link.address_;
            });
            if (to->second.data_centre_ != state.data_centre_) {
                bridges[state.data_centre_].insert(id);
            }
        }
    }
    for (const auto& [data_centre, ids] : bridges) {
        LONGS_EQUAL(2, ids.size());
    }
}
