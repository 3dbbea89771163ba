#include "routing/service_view.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace savoryscale::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An event at one host between two attempts to probe.
struct step {
    int wait_ms_ = 0;
    int event_ = 0; // 0: restart; 1: the share changes; otherwise none
    int share_ = 0;
};

service_view make_host(time_point now)
{
    service_view view = make_view(settings::service{}, "mobile", policy::least_wait);
    const target_info targets[] = {{{"10.0.0.1", 80}, "mobile", false, 1},
                                   {{"10.0.0.2", 80}, "mobile", false, 1}};
    update_targets(view, targets, now);
    return view;
}

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(rc::gen::set(&step::wait_ms_, rc::gen::inRange(0, 400)),
                                rc::gen::set(&step::event_, rc::gen::inRange(0, 12)),
                                rc::gen::set(&step::share_, rc::gen::inRange(0, 12)));
}

// Maximum number of probes in any second that begins with a probe.
std::size_t max_in_a_second(const std::vector<time_point>& sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        std::size_t count = 0;
        while (first + count < sent.size() && sent[first + count] - sent[first] < seconds{1}) {
            ++count;
        }
        most = std::max(most, count);
    }
    return most;
}

// Times of the probes that one host sends over all steps; it tries every millisecond of a wait.
std::vector<time_point> probes_sent(const std::vector<step>& steps, bool share_may_change)
{
    random_source random{3};
    time_point now{seconds{100}};
    service_view view = make_host(now);
    int share = 8;
    set_probe_share(view, share);
    std::vector<time_point> sent;
    for (const auto& step : steps) {
        if (step.event_ == 0) {
            view = make_host(now);
            set_probe_share(view, share);
        }
        if (step.event_ == 1 && share_may_change) {
            share = step.share_;
            set_probe_share(view, share);
        }
        for (int ms = 0; ms < step.wait_ms_; ++ms) {
            now += milliseconds{1};
            if (next_probe(view, now, random)) {
                sent.push_back(now);
            }
        }
    }
    return sent;
}

rc::detail::TestParams fixed_params()
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 300;
    return params;
}

template<class Property>
void check_property(Property property)
{
    const auto result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata{}, fixed_params());
    if (!result.template is<rc::detail::SuccessResult>()) {
        FAIL(rc::toString(result).c_str());
    }
}

} // namespace

TEST_GROUP(probe_budget){};

TEST(probe_budget, no_second_exceeds_the_share_across_restarts)
{
    check_property([] {
        const auto steps = *rc::gen::container<std::vector<step>>(any_step());
        RC_ASSERT(max_in_a_second(probes_sent(steps, false)) <= 8U);
    });
}

TEST(probe_budget, no_second_exceeds_the_highest_share_set)
{
    check_property([] {
        const auto steps = *rc::gen::container<std::vector<step>>(any_step());
        RC_ASSERT(max_in_a_second(probes_sent(steps, true)) <= 11U);
    });
}

// Two hosts share ten probes per second and move shares back and forth.
TEST(probe_budget, two_hosts_that_move_a_share_stay_within_the_total)
{
    check_property([] {
        const auto steps = *rc::gen::container<std::vector<step>>(any_step());
        random_source random{3};
        time_point now{seconds{100}};
        service_view hosts[] = {make_host(now), make_host(now)};
        int first = 5;
        std::vector<time_point> sent;
        for (const auto& step : steps) {
            first = step.event_ < 4 ? std::min(step.share_, 10) : first;
            set_probe_share(hosts[0], first);
            set_probe_share(hosts[1], 10 - first);
            for (int ms = 0; ms < step.wait_ms_; ++ms) {
                now += milliseconds{1};
                for (auto& host : hosts) {
                    if (next_probe(host, now, random)) {
                        sent.push_back(now);
                    }
                }
            }
        }
        RC_ASSERT(max_in_a_second(sent) <= 10U);
    });
}

// The share was withdrawn and restored between two attempts to probe; a peer may have used it then.
TEST(probe_budget, a_restored_share_takes_effect_a_second_later)
{
    random_source random{3};
    time_point now{seconds{100}};
    service_view view = make_host(now);
    set_probe_share(view, 8);
    next_probe(view, now, random);
    now += seconds{5};
    CHECK(next_probe(view, now, random).has_value());
    set_probe_share(view, 0);
    set_probe_share(view, 8);
    now += seconds{5};
    CHECK_FALSE(next_probe(view, now, random).has_value());
    CHECK_FALSE(next_probe(view, now + milliseconds{999}, random).has_value());
    CHECK(next_probe(view, now + seconds{1}, random).has_value());
}

TEST(probe_budget, the_share_is_fully_used)
{
    random_source random{3};
    time_point now{seconds{100}};
    service_view view = make_host(now);
    set_probe_share(view, 7.9);
    int sent = 0;
    for (int ms = 0; ms < 11000; ++ms) {
        now += milliseconds{1};
        sent += next_probe(view, now, random) ? 1 : 0;
    }
    CHECK(sent >= 68);
    CHECK(sent <= 70);
}
