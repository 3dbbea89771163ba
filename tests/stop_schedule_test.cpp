// The times of a planned stop that ends the process.

#include "dispatch/stop_schedule.hpp"
#include "routing/service_view.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <vector>

using namespace savoryscale;
using namespace std::chrono_literals;

TEST_GROUP(stop_schedule)
{
    const time_point began = time_point{} + 100s;
    const dispatch::stop_schedule stop{began + 6s};
};

TEST(stop_schedule, targets_answer_before_the_host_does_and_both_before_the_end)
{
    CHECK(dispatch::target_deadline(stop) < dispatch::answer_deadline(stop));
    CHECK(dispatch::answer_deadline(stop) < stop.ends_at_);
}

TEST(stop_schedule, a_request_is_sent_while_its_answer_is_expected_before_the_end)
{
    CHECK(dispatch::is_answered_before(stop, 1500ms, began + 4s));
    CHECK(!dispatch::is_answered_before(stop, 1500ms, began + 4500ms));
    CHECK(!dispatch::is_answered_before(stop, 0ms, began + 6s));
}

// Settings may ask for a longer time than the deployment's grace.
TEST(stop_schedule, callers_are_accepted_for_half_of_the_time_at_most)
{
    CHECK(dispatch::accepting_time(stop, 2500ms, began) == 2500ms);
    CHECK(dispatch::accepting_time(stop, 10s, began) == 3s);
}

TEST(stop_schedule, the_bound_of_latencies_lies_above_the_usual_spread)
{
    settings::service config;
    routing::service_view view = routing::make_view(config, "a", routing::policy::probed);
    CHECK(routing::latency_bound(view, 0ms, 400ms) == 400ms);
    std::vector<routing::target_info> targets(1);
    targets[0].address_ = {"10.0.0.1", 80};
    routing::update_targets(view, targets, began);
    for (int i = 0; i < 200; ++i) {
        const duration latency = i % 2 == 0 ? 80ms : 120ms;
        routing::on_attempt_started(view, 0, began);
        routing::on_attempt_ended(view, {0, routing::attempt_end::answered, latency, {}},
                                  began + latency);
    }
    CHECK(routing::latency_bound(view, 0ms, 400ms) > 120ms);
    CHECK(routing::latency_bound(view, 0ms, 400ms) < 250ms);
    CHECK(routing::latency_bound(view, 1s, 400ms) > 1020ms);
}
