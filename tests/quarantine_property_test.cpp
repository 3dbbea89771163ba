#include <rapidcheck.h>

#include "admission/quarantine.hpp"

#include <CppUTest/TestHarness.h> // last: it redefines new

#include <algorithm>

using namespace savoryscale;
using namespace savoryscale::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t host_count = 3;
constexpr fingerprint crashing_request = 99;

// One event at one host.
struct step {
    std::size_t host_ = 0;
    fingerprint request_ = 0;
    int target_ = 0;
    int event_ = 0; // 0: the target crashes; 1: the request completes; otherwise it starts
};

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(rc::gen::set(&step::host_, rc::gen::inRange<std::size_t>(0, 3)),
                                rc::gen::set(&step::request_, rc::gen::inRange<fingerprint>(0, 2)),
                                rc::gen::set(&step::target_, rc::gen::inRange(0, 2)),
                                rc::gen::set(&step::event_, rc::gen::inRange(0, 5)));
}

rc::Gen<std::vector<step>> any_steps()
{
    const auto whole_ranges = rc::gen::resize(rc::kNominalSize, any_step());
    return rc::gen::resize(30, rc::gen::container<std::vector<step>>(whole_ranges));
}

std::string target_name(int target)
{
    return "t" + std::to_string(target);
}

void apply(quarantine& host, const step& step, time_point now)
{
    const std::string target = target_name(step.target_);
    if (step.event_ == 0) {
        on_target_crashed(host, target, now);
    }
    else if (step.event_ == 1) {
        on_request_ended(host, step.request_, target, true);
    }
    else if (!is_quarantined(host, step.request_, now)) {
        on_request_sent(host, step.request_, target, now);
    }
}

// All suspicions of all hosts, in order of host and request.
std::vector<peer::fact> facts_of(const std::vector<quarantine>& hosts)
{
    std::vector<peer::fact> facts;
    for (const auto& host : hosts) {
        for (const auto& [request, suspect] : host.suspects_) {
            facts.push_back(suspicion_of(host, request));
        }
    }
    return facts;
}

std::string text_of(const quarantine& host)
{
    std::string text;
    for (const auto& [request, suspect] : host.suspects_) {
        const auto fact = suspicion_of(host, request);
        text += fact.subject_ + ":" + std::to_string(fact.version_) + ":" + fact.payload_ + ";";
    }
    return text;
}

template<class Property>
void check_property(Property property)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 500;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    if (!result.template is<rc::detail::SuccessResult>()) {
        FAIL(rc::toString(result).c_str());
    }
}

} // namespace

TEST_GROUP(quarantine_property){};

TEST(quarantine_property, merging_in_any_order_and_repeatedly_gives_the_same_state_on_every_host)
{
    check_property([] {
        const auto steps = *any_steps();
        std::vector<quarantine> hosts(host_count);
        time_point now{seconds{100}};
        for (const auto& step : steps) {
            now += milliseconds{1};
            apply(hosts[step.host_], step, now);
        }
        auto facts = facts_of(hosts);
        for (auto& host : hosts) {
            for (int round = 0; round < 2; ++round) {
                for (const auto& fact : facts) {
                    RC_ASSERT(merge(host, fact, now).has_value());
                }
            }
            std::rotate(facts.begin(), facts.begin() + (facts.empty() ? 0 : 1), facts.end());
        }
        RC_ASSERT(text_of(hosts[0]) == text_of(hosts[1]));
        RC_ASSERT(text_of(hosts[0]) == text_of(hosts[2]));
    });
}

TEST(quarantine_property, a_crashing_request_resent_through_any_host_crashes_at_most_two_targets)
{
    check_property([] {
        const auto steps = *any_steps();
        std::vector<quarantine> hosts(host_count);
        time_point now{seconds{100}};
        int crashes = 0;
        for (const auto& step : steps) {
            now += milliseconds{1};
            quarantine& host = hosts[step.host_];
            if (is_quarantined(host, crashing_request, now)) {
                continue;
            }
            const std::string target = target_name(step.target_);
            on_request_sent(host, crashing_request, target, now);
            now += milliseconds{1};
            on_target_crashed(host, target, now);
            ++crashes;
            for (auto& other : hosts) {
                RC_ASSERT(merge(other, suspicion_of(host, crashing_request), now).has_value());
            }
        }
        RC_ASSERT(crashes <= 2);
    });
}
