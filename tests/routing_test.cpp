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

    void answer_after(target_index target, duration latency)
    {
        on_attempt_started(view_, target, now_ - latency);
        on_attempt_ended(view_, {target, attempt_end::answered, latency, {}}, now_);
    }

    void fail(target_index target, attempt_end end)
    {
        on_attempt_started(view_, target, now_);
        on_attempt_ended(view_, {target, end, milliseconds{0}, load_report{0, 0}}, now_);
    }

    // Reports requests in flight with an answer after 2 ms.
    void report_load(target_index target, double in_flight)
    {
        on_attempt_started(view_, target, now_);
        on_attempt_ended(
            view_, {target, attempt_end::answered, milliseconds{2}, load_report{in_flight, 0}},
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

TEST(routing, no_target_is_chosen_without_targets)
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

TEST(routing, a_target_that_reports_draining_is_not_chosen_until_its_next_incarnation)
{
    auto all = targets(2);
    update_targets(view_, all, now_);
    on_attempt_started(view_, 0, now_);
    on_attempt_ended(view_, {0, attempt_end::answered, milliseconds{3}, load_report{0, 0, true}},
                     now_);
    CHECK(chosen(100) == std::set<target_index>{1});
    all[0].incarnation_ = 2;
    update_targets(view_, all, now_);
    now_ += seconds{60};
    CHECK(chosen(200) == (std::set<target_index>{0, 1}));
}

TEST(routing, a_load_report_loses_weight_as_it_ages)
{
    update_targets(view_, targets(3), now_);
    for (int time = 0; time < 1000; ++time) {
        report_load(0, 4);
        report_load(1, 4);
    }
    report_load(2, 0);
    CHECK(chosen(50) == std::set<target_index>{2});
    on_attempt_started(view_, 2, now_);
    on_attempt_started(view_, 2, now_);
    now_ += seconds{1};
    report_load(0, 3);
    CHECK(chosen(50) == std::set<target_index>{0});
}

TEST(routing, a_recent_report_of_mean_load_is_preferred_to_an_old_one)
{
    update_targets(view_, targets(2), now_);
    for (int time = 0; time < 1000; ++time) {
        report_load(0, 2);
        report_load(1, 2);
    }
    now_ += seconds{1};
    report_load(1, 2);
    CHECK(chosen(50) == std::set<target_index>{1});
}

TEST(routing, the_local_data_centre_is_preferred_until_it_is_busier)
{
    auto all = targets(2);
    all[1].data_centre_ = "biloxi";
    update_targets(view_, all, now_);
    CHECK(chosen(50) == std::set<target_index>{0});
    on_attempt_started(view_, 0, now_);
    CHECK(chosen(50) == std::set<target_index>{1});
}

TEST(routing, a_hedge_waits_for_the_90th_percentile_and_leaves_a_reserve_for_retries)
{
    update_targets(view_, targets(2), now_);
    CHECK_FALSE(hedge_delay(view_, now_).has_value());
    for (int time = 0; time < 1000; ++time) {
        on_attempt_started(view_, 0, now_);
        const milliseconds latency{time % 100 < 88 ? 2 : 40};
        on_attempt_ended(view_, {0, attempt_end::answered, latency, {}}, now_);
    }
    CHECK(hedge_delay(view_, now_).value() >= milliseconds{40});
    CHECK(hedge_delay(view_, now_).value() <= milliseconds{48});
    for (int time = 0; time < 500; ++time) {
        report_load(0, 6);
    }
    CHECK_FALSE(hedge_delay(view_, now_).has_value()); // three calls per slot
    CHECK(calls_per_slot(view_) > 2.5);
    for (int time = 0; time < 500; ++time) {
        report_load(0, 0);
    }
    CHECK(hedge_delay(view_, now_).has_value());
    while (take_hedge(view_, now_)) {
    }
    CHECK_FALSE(hedge_delay(view_, now_).has_value());
    CHECK(take_retry(view_, now_));
}

TEST(routing, a_slow_target_is_avoided_and_tried_again_later)
{
    update_targets(view_, targets(10), now_);
    for (int time = 0; time < 200; ++time) {
        for (target_index other = 1; other < 10; ++other) {
            answer_after(other, milliseconds{2});
        }
        answer_after(0, milliseconds{60});
    }
    for (target_index other = 1; other < 10; ++other) {
        on_attempt_started(view_, other, now_);
    }
    const auto seen = chosen(100);
    CHECK(seen.count(0) == 0);
    CHECK(!seen.empty());
    now_ += seconds{20};
    CHECK(chosen(50) == std::set<target_index>{0});
}

TEST(routing, a_target_that_fails_fast_is_avoided_though_it_reports_no_load)
{
    update_targets(view_, targets(4), now_);
    for (int time = 0; time < 40; ++time) {
        report_load(1, 3);
        report_load(2, 3);
        report_load(3, 3);
        fail(0, attempt_end::failed);
    }
    CHECK(chosen(100).count(0) == 0);
    now_ += seconds{5};
    for (const target_index busy : {1, 2, 3}) {
        on_attempt_started(view_, busy, now_);
    }
    CHECK(chosen(50) == std::set<target_index>{0});
    on_attempt_started(view_, 0, now_);
    CHECK(chosen(100).count(0) == 0); // one attempt at a time after an ejection
    on_attempt_ended(view_, {0, attempt_end::answered, milliseconds{2}, {}}, now_);
    now_ += seconds{3};
    CHECK(chosen(50) == std::set<target_index>{0});
}

TEST(routing, a_crash_ejects_at_once)
{
    update_targets(view_, targets(3), now_);
    fail(0, attempt_end::crashed);
    on_attempt_started(view_, 1, now_);
    on_attempt_started(view_, 2, now_);
    CHECK(chosen(100) == (std::set<target_index>{1, 2}));
}

TEST(routing, load_is_spread_evenly_when_all_targets_fail)
{
    update_targets(view_, targets(4), now_);
    for (int time = 0; time < 100; ++time) {
        for (const target_index each : {0, 1, 2, 3}) {
            fail(each, attempt_end::failed);
        }
    }
    for (const target_index each : {0, 1, 2}) {
        fail(each, attempt_end::crashed);
    }
    for (int time = 0; time < 8; ++time) {
        on_attempt_started(view_, choose(view_, {}, now_, random_).value(), now_);
    }
    for (const auto& each : view_.targets_) {
        LONGS_EQUAL(2, each.in_flight_);
    }
}

TEST(routing, outcomes_of_an_earlier_incarnation_are_ignored)
{
    auto all = targets(2);
    update_targets(view_, all, now_);
    on_attempt_started(view_, 0, now_);
    now_ += milliseconds{50};
    all[0].incarnation_ = 2;
    update_targets(view_, all, now_);
    now_ += milliseconds{1};
    on_attempt_ended(view_, {0, attempt_end::crashed, milliseconds{51}, load_report{0, 0, true}},
                     now_);
    now_ += seconds{10};
    CHECK(chosen(100).count(0) == 1);
}

TEST(routing, a_new_incarnation_gets_a_slow_start)
{
    auto all = targets(2);
    update_targets(view_, all, now_);
    all[0].incarnation_ = 2;
    update_targets(view_, all, now_);
    CHECK(chosen(50) == std::set<target_index>{1});
    now_ += seconds{2};
    CHECK(chosen(50) == (std::set<target_index>{0, 1}));
}

TEST(routing, a_target_that_sheds_load_is_treated_as_full)
{
    update_targets(view_, targets(2), now_);
    report_load(0, 1);
    report_load(1, 1);
    fail(0, attempt_end::shed);
    CHECK(chosen(50) == std::set<target_index>{1});
}

TEST(routing, utilization_replaces_a_missing_request_count)
{
    update_targets(view_, targets(2), now_);
    report_load(0, 1);
    on_attempt_started(view_, 1, now_);
    on_attempt_ended(view_, {1, attempt_end::answered, milliseconds{2}, load_report{0, 1.0}}, now_);
    CHECK(chosen(50) == std::set<target_index>{0});
}

TEST(routing, extra_attempts_stay_below_the_ratio_when_every_target_fails)
{
    update_targets(view_, targets(3), now_);
    int extra = 0;
    for (int first = 0; first < 1000; ++first) {
        on_attempt_started(view_, 0, now_);
        while (take_retry(view_, now_)) {
            ++extra;
            on_attempt_started(view_, 1, now_);
        }
    }
    CHECK(extra <= 100);
    CHECK(extra >= 95);
}
