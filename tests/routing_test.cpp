#include "routing/service_view.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

target_info target(int number)
{
    return {{"10.0.0." + std::to_string(number), 80}, "mobile", false, 1};
}

std::vector<target_info> targets(int count)
{
    std::vector<target_info> made;
    for (int number = 0; number < count; ++number) {
        made.push_back(target(number));
    }
    return made;
}

} // namespace

TEST_GROUP(routing)
{
    random_source random_{7};
    time_point now_{seconds{1000}};
    service_view view_ = make_view(settings::service{}, "mobile", policy::least_wait);

    // An answer after 2 ms that reports the requests in flight.
    void hear(target_index target, double in_flight)
    {
        attempt_started(view_, target, now_);
        attempt_ended(view_,
                      {target, attempt_end::answered, milliseconds{2}, load_report{in_flight, 0}},
                      now_);
    }

    std::set<target_index> chosen(int times)
    {
        std::set<target_index> seen;
        for (int time = 0; time < times; ++time) {
            const auto one = choose(view_, {}, now_, random_);
            if (one) {
                seen.insert(*one);
            }
        }
        return seen;
    }
};

TEST(routing, without_targets_there_is_no_choice)
{
    CHECK_FALSE(choose(view_, {}, now_, random_).has_value());
}

TEST(routing, leaving_unlisted_and_excluded_targets_are_never_chosen)
{
    auto all = targets(4);
    update_targets(view_, all, now_);
    all[0].leaving_ = true;
    all.pop_back();
    update_targets(view_, all, now_);
    const target_index exclude[] = {1};
    for (int time = 0; time < 100; ++time) {
        LONGS_EQUAL(2, choose(view_, exclude, now_, random_).value());
    }
}

TEST(routing, a_target_that_says_it_drains_is_left_alone_until_its_next_incarnation)
{
    auto all = targets(2);
    update_targets(view_, all, now_);
    attempt_started(view_, 0, now_);
    attempt_ended(view_, {0, attempt_end::answered, milliseconds{3}, load_report{0, 0, true}},
                  now_);
    CHECK(chosen(100) == std::set<target_index>{1});
    all[0].incarnation_ = 2;
    update_targets(view_, all, now_);
    now_ += seconds{60};
    CHECK(chosen(200) == (std::set<target_index>{0, 1}));
}

TEST(routing, a_report_of_other_hosts_calls_counts_less_as_it_ages)
{
    update_targets(view_, targets(3), now_);
    for (int time = 0; time < 1000; ++time) {
        hear(0, 4);
        hear(1, 4);
    }
    hear(2, 0);
    CHECK(chosen(50) == std::set<target_index>{2});
    attempt_started(view_, 2, now_);
    attempt_started(view_, 2, now_);
    now_ += seconds{1};
    hear(0, 3);
    CHECK(chosen(50) == std::set<target_index>{0});
}

TEST(routing, a_recent_report_of_the_mean_is_preferred_to_an_old_one)
{
    update_targets(view_, targets(2), now_);
    for (int time = 0; time < 1000; ++time) {
        hear(0, 2);
        hear(1, 2);
    }
    now_ += seconds{1};
    hear(1, 2);
    CHECK(chosen(50) == std::set<target_index>{1});
}

TEST(routing, the_own_data_centre_goes_first_and_spills_over)
{
    auto all = targets(2);
    all[1].data_centre_ = "biloxi";
    update_targets(view_, all, now_);
    CHECK(chosen(50) == std::set<target_index>{0});
    attempt_started(view_, 0, now_);
    CHECK(chosen(50) == std::set<target_index>{1});
}

TEST(routing, a_hedge_waits_for_the_ninetieth_percentile_and_leaves_a_reserve_for_retries)
{
    update_targets(view_, targets(2), now_);
    CHECK_FALSE(hedge_after(view_, now_).has_value());
    for (int time = 0; time < 1000; ++time) {
        attempt_started(view_, 0, now_);
        const milliseconds latency{time % 100 < 88 ? 2 : 40};
        attempt_ended(view_, {0, attempt_end::answered, latency, {}}, now_);
    }
    CHECK(hedge_after(view_, now_).value() >= milliseconds{40});
    CHECK(hedge_after(view_, now_).value() <= milliseconds{48});
    while (take_hedge(view_, now_)) {
    }
    CHECK_FALSE(hedge_after(view_, now_).has_value());
    CHECK(take_retry(view_, now_));
}

TEST(routing, extra_attempts_stay_below_the_ratio_when_every_target_fails)
{
    update_targets(view_, targets(3), now_);
    int extra = 0;
    for (int first = 0; first < 1000; ++first) {
        attempt_started(view_, 0, now_);
        while (take_retry(view_, now_)) {
            ++extra;
            attempt_started(view_, 1, now_);
        }
    }
    CHECK(extra <= 100);
    CHECK(extra >= 95);
}
