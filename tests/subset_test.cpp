#include "routing/subset.hpp"

#include "routing/service_view.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace savoryscale;
using namespace savoryscale::routing;
using std::chrono::seconds;

namespace {

std::vector<std::string> host_ids(int count)
{
    std::vector<std::string> made;
    for (int number = 0; number < count; ++number) {
        made.push_back("host-" + std::to_string(number));
    }
    return made;
}

std::vector<target_info> targets(int count)
{
    std::vector<target_info> made;
    for (int number = 0; number < count; ++number) {
        const std::string ip =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        made.push_back({{ip, 80}, "mobile", false, 1});
    }
    return made;
}

service_view view_of(const std::string& own, std::span<const std::string> hosts, int target_count)
{
    service_view view = make_view(settings::service{}, "mobile", policy::least_wait);
    const time_point now{seconds{1000}};
    set_hosts(view, own, hosts);
    update_targets(view, targets(target_count), now);
    return view;
}

} // namespace

TEST_GROUP(subset){};

TEST(subset, every_target_of_a_large_service_is_used_by_the_same_number_of_hosts)
{
    const auto hosts = host_ids(24);
    std::vector<int> uses(1000);
    for (const auto& own : hosts) {
        const auto view = view_of(own, hosts, 1000);
        CHECK(view.subset_.size() < 3 * subset_targets);
        for (const target_index used : view.subset_) {
            ++uses[used];
        }
    }
    for (const int count : uses) {
        LONGS_EQUAL(3, count);
    }
}

TEST(subset, all_targets_of_a_small_service_are_used)
{
    const auto hosts = host_ids(13);
    LONGS_EQUAL(30, view_of("host-3", hosts, 30).subset_.size());
}

TEST(subset, a_host_that_leaves_moves_only_the_targets_it_used)
{
    const auto before = host_ids(24);
    const auto after = host_ids(23);
    const auto old_view = view_of("host-5", before, 1000);
    const auto new_view = view_of("host-5", after, 1000);
    const std::set<target_index> now_used(new_view.subset_.begin(), new_view.subset_.end());
    for (const target_index used : old_view.subset_) {
        CHECK(now_used.count(used) == 1);
    }
}

TEST(subset, a_host_that_its_peers_do_not_know_uses_every_target)
{
    LONGS_EQUAL(200, view_of("new", host_ids(13), 200).subset_.size());
}

TEST(subset, targets_outside_the_subset_are_chosen_only_when_none_in_it_is_eligible)
{
    const auto hosts = host_ids(24);
    auto view = view_of("host-1", hosts, 1000);
    random_source random{7};
    const time_point now{seconds{1000}};
    const std::set<target_index> used(view.subset_.begin(), view.subset_.end());
    for (int time = 0; time < 500; ++time) {
        const auto chosen = choose(view, {}, now, random);
        CHECK(used.count(chosen.value()) == 1);
        on_attempt_started(view, *chosen, now);
    }
    auto all = targets(1000);
    for (const target_index index : used) {
        all[index].leaving_ = true;
    }
    update_targets(view, all, now);
    const auto chosen = choose(view, {}, now, random);
    CHECK(used.count(chosen.value()) == 0);
}
