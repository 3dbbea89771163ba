// The use of allotments by hosts and their granters, in virtual time.

#include "organisations/allotment_granter.hpp"
#include "organisations/allotment_use.hpp"
#include "peer/allotment_wire.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::organisations;
using namespace std::chrono_literals;

namespace {

constexpr duration report_interval = 500ms;
constexpr duration step = 5ms;
const settings::allotment_bounds bounds{settings::seconds{5}, 0.1, 20};

struct tally {
    std::uint64_t asked_ = 0;
    std::uint64_t passed_ = 0;
    std::uint64_t messages_ = 0;
    double worst_ = 0; // requests in any window, against what the bounds allow: above 1 breaks them
    double rate_ = 0;  // passed a second over the last window
};

// Hosts that report to two granters, the first one that answers, with one organisation.
struct fleet {
    struct host {
        allotment_use use_;
        time_point report_at_{};
        int granter_ = -1;
        time_point retry_first_at_{};
    };

    fleet(std::size_t count, double per_second, double burst, std::uint64_t seed)
        : limit_{per_second, burst}, random_{seed}, hosts_(count)
    {
        for (host& each : hosts_) {
            start(each);
        }
        restart(0);
        restart(1);
    }

    void start(host& each)
    {
        each = {};
        each.use_.bounds_ = bounds;
        each.use_.hosts_max_ = static_cast<std::uint32_t>(hosts_.size());
        each.report_at_ = now_ + std::chrono::milliseconds{uniform_below(random_, 500)};
    }

    void restart(std::size_t granter)
    {
        granters_.at(granter) = {};
        granters_.at(granter).bounds_ = bounds;
        granters_.at(granter).counted_at_ = now_;
        set_limit(granter);
    }

    void set_limit(std::size_t granter)
    {
        set_allotments(granters_.at(granter),
                       std::vector{organisation{"kaje", {}, std::nullopt, limit_}}, now_);
    }

    void lower(const allotment& limit)
    {
        limit_ = limit;
        set_limit(0);
        set_limit(1);
    }

    // Whether the message of a host to a granter arrives.
    std::function<bool(std::size_t host, std::size_t granter)> arrives_ =
        [](std::size_t, std::size_t) { return true; };

    // Grants the host's wanted request, or none; false: no granter has answered.
    bool report(std::size_t index, std::uint32_t wanted, std::uint32_t& granted)
    {
        host& each = hosts_[index];
        each.report_at_ = now_ + report_interval;
        for (std::size_t granter = 0; granter < granters_.size(); ++granter) {
            if (granter == 0 && now_ < each.retry_first_at_) {
                continue;
            }
            auto sent =
                take_report(each.use_, index + 1, each.granter_ != static_cast<int>(granter), now_);
            if (wanted > 0) {
                if (sent.uses_.empty()) {
                    sent.uses_.push_back({name_, 0, 0});
                }
                sent.uses_.front().wanted_ = wanted;
            }
            if (!arrives_(index, granter)) {
                on_no_answer(each.use_);
                if (granter == 0) {
                    each.retry_first_at_ = now_ + 1s;
                }
                continue;
            }
            ++total_.messages_;
            const auto answer = on_report(granters_.at(granter), sent, now_);
            each.granter_ = static_cast<int>(granter);
            on_answer(each.use_, answer, now_);
            for (const use_grant& grant : answer.near_limit_) {
                granted = grant.granted_;
            }
            return true;
        }
        return false;
    }

    bool request(std::size_t index)
    {
        host& each = hosts_[index];
        auto decided = decide(each.use_, name_, limit_, true, now_, random_);
        if (decided.verdict_ == use_verdict::ask) {
            std::uint32_t granted = 0;
            decided.verdict_ = report(index, 1, granted)
                                   ? granted > 0 ? use_verdict::passed : use_verdict::refused
                                   : decide_alone(each.use_, name_, limit_, now_, random_).verdict_;
        }
        return decided.verdict_ == use_verdict::passed;
    }

    // Plays requests of `rate` a second, to hosts chosen by `where`.
    tally play(duration time, double rate, const std::function<std::size_t()>& where)
    {
        total_ = {};
        for (const time_point end = now_ + time; now_ < end; now_ += step) {
            for (std::size_t index = 0; index < hosts_.size(); ++index) {
                if (now_ >= hosts_[index].report_at_) {
                    std::uint32_t none = 0;
                    report(index, 0, none);
                }
            }
            const double expected = rate * std::chrono::duration<double>(step).count();
            for (double left = expected; left > 0; left -= 0.01) {
                if (uniform_unit(random_) >= std::min(left, 0.01)) {
                    continue;
                }
                ++total_.asked_;
                if (request(where())) {
                    ++total_.passed_;
                    passed_at_.push_back(now_);
                }
            }
            while (!passed_at_.empty() && passed_at_.front() <= now_ - 5s) {
                passed_at_.pop_front();
            }
            const double allowed = (limit_.per_second_ * 5 + limit_.burst_) * 1.1 + 20;
            total_.worst_ =
                std::max(total_.worst_, static_cast<double>(passed_at_.size()) / allowed);
        }
        total_.rate_ = static_cast<double>(passed_at_.size()) / 5;
        return total_;
    }

    tally play(duration time, double rate)
    {
        return play(time, rate, [this] { return uniform_below(random_, hosts_.size()); });
    }

    allotment limit_;
    random_source random_;
    std::vector<host> hosts_;
    std::array<allotment_granter, 2> granters_;
    time_point now_{1000s};
    std::deque<time_point> passed_at_;
    tally total_;
    name_hash name_ = hash_of_name("kaje");
};

double refused_part(const tally& played)
{
    return 1 - static_cast<double>(played.passed_) / static_cast<double>(played.asked_);
}

// Hosts from `count` on are cut off from both granters.
auto cut_from(std::size_t count)
{
    return [count](std::size_t host, std::size_t) { return host < count; };
}

} // namespace

TEST_GROUP(allotments){};

// Load: organisations at 0.6 of their limits, at all hosts alike or at one of them.
TEST(allotments, below_the_limit_fewer_than_three_of_a_thousand_are_refused)
{
    for (const std::size_t hosts : {13, 122, 1000}) {
        for (const double per_second : {2.0, 17.0, 160.0}) {
            fleet all{hosts, per_second, per_second, 7};
            all.play(3s, per_second * 0.6);
            const auto even = all.play(20s, per_second * 0.6);
            CHECK_TEXT(refused_part(even) < 0.003, "all hosts");
            const auto uneven = all.play(20s, per_second * 0.6, [] { return 0; });
            CHECK_TEXT(refused_part(uneven) < 0.003, "one host");
            CHECK(uneven.worst_ <= 1);
        }
    }
}

// Load: 7.5 times the usual from one moment to the next, which is 4.7 times the limit.
TEST(allotments, a_sudden_excess_is_held_within_the_bound_and_gets_what_is_allowed)
{
    for (const std::size_t hosts : {13, 122, 1000}) {
        for (const double per_second : {2.0, 17.0, 160.0}) {
            fleet all{hosts, per_second, per_second, 11};
            all.play(6s, per_second * 0.625);
            const auto hot = all.play(7s, per_second * 4.7);
            CHECK(hot.worst_ <= 1);
            const auto later = all.play(6s, per_second * 4.7);
            CHECK(later.worst_ <= 1);
            CHECK(later.rate_ >= per_second * 0.9);
        }
    }
}

// Load: from one moment to the next so many requests that all of the allotment and more is asked
// for between two reports of a host.
TEST(allotments, an_excess_between_two_reports_is_held_within_the_bound)
{
    for (const std::size_t hosts : {5, 13, 122}) {
        for (const double per_second : {20.0, 160.0}) {
            for (const double excess : {10.0, 40.0}) {
                fleet all{hosts, per_second, per_second, 31};
                all.play(6s, per_second * 0.5);
                const auto hot = all.play(4s, per_second * excess);
                CHECK_TEXT(hot.worst_ <= 1, std::to_string(hot.worst_).c_str());
                CHECK(all.play(6s, per_second * excess).rate_ >= per_second * 0.9);
            }
        }
    }
}

// Load: an excess while a third of the hosts is cut off, and the limit is halved.
TEST(allotments, hosts_that_are_cut_off_stay_within_the_bound_together_with_the_others)
{
    for (const std::size_t hosts : {13, 122, 1000}) {
        for (const double per_second : {2.0, 17.0, 160.0}) {
            fleet all{hosts, per_second, per_second, 13};
            all.play(6s, per_second * 0.625);
            all.arrives_ = cut_from(hosts * 2 / 3);
            CHECK(all.play(12s, per_second * 4.7).worst_ <= 1);
            all.arrives_ = cut_from(hosts);
            CHECK(all.play(6s, per_second * 4.7).worst_ <= 1);
            all.lower({per_second / 2, per_second / 2});
            all.play(5s, per_second * 4.7);
            CHECK(all.play(6s, per_second * 4.7).worst_ <= 1);
        }
    }
}

// Load: an excess while half of the hosts reach one granter and half the other.
TEST(allotments, two_granters_that_do_not_know_of_each_other_do_not_grant_twice)
{
    fleet all{122, 17, 17, 17};
    all.play(6s, 10);
    all.arrives_ = [](std::size_t host, std::size_t granter) { return host % 2 == granter; };
    CHECK(all.play(20s, 80).worst_ <= 1);
}

// Load: an excess while the first granter is killed, or frozen and woken, and then all at once.
TEST(allotments, a_granter_that_starts_anew_or_wakes_gives_no_burst_twice)
{
    for (const double per_second : {17.0, 160.0}) {
        fleet all{122, per_second, per_second, 19};
        all.play(6s, per_second * 0.625);
        all.restart(0);
        CHECK(all.play(6s, per_second * 4.7).worst_ <= 1);
        all.arrives_ = [](std::size_t, std::size_t granter) { return granter == 1; };
        const auto without = all.play(12s, per_second * 4.7);
        CHECK(without.worst_ <= 1);
        CHECK(without.rate_ >= per_second * 0.9);
        all.arrives_ = cut_from(122);
        CHECK(all.play(6s, per_second * 4.7).worst_ <= 1);
        for (fleet::host& each : all.hosts_) {
            all.start(each);
        }
        all.restart(0);
        all.restart(1);
        const auto anew = all.play(6s, per_second * 4.7);
        CHECK(anew.worst_ <= 1);
        CHECK(anew.rate_ >= per_second * 0.9);
    }
}

// Load: a usual day of one organisation among 80 at 122 hosts, which send 870 requests a second.
TEST(allotments, an_organisation_far_below_its_limit_costs_no_message_a_request)
{
    fleet all{122, 170, 170, 23};
    all.play(6s, 17);
    const auto quiet = all.play(20s, 17);
    CHECK(quiet.messages_ <= 122 * 20 * 2 + 122);
}

TEST(allotments, a_request_that_did_not_run_takes_nothing)
{
    fleet one{1, 1, 5, 29};
    std::uint32_t none = 0;
    one.report(0, 0, none);
    for (int i = 0; i < 200; ++i) {
        CHECK(one.request(0));
        give_back(one.hosts_[0].use_, one.name_);
    }
}

// Load: four times as many requests as pass, and as many as pass.
TEST(allotments, callers_return_the_later_the_more_of_them_are_refused)
{
    allotment_use use;
    time_point now{1000s};
    duration told{};
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        told = return_time(use, 1, i % 4 == 0 ? use_verdict::passed : use_verdict::refused, now);
    }
    CHECK(told >= 5s && told <= 7s);
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        told = return_time(use, 1, use_verdict::passed, now);
    }
    CHECK(told == 1s);
}

TEST(allotments, messages_are_read_as_they_were_written_and_odd_ones_are_refused)
{
    const use_report report{hash_of_name("host-1"), 122, {{1, -3, 0}, {~0ULL, 17, 2}}};
    CHECK(peer::read_allotment_path(peer::write_allotment_path(report)) == report);
    const use_answer answer{122, true, {{5, 2, 40ms}, {6, 0, 0ms}}};
    CHECK(peer::read_allotment_answer(peer::write_allotment_answer(answer)) == answer);
    for (const char* odd : {"/allotments?", "/allotments?1", "/allotments?1;x", "/allotments?1;1;2",
                            "/allotments?1;1;2=3", "/allotments?1;1;2=--3,4", "/allotments?1;-1",
                            "/allotments?1;1;2=3,99999999", "/grant?1"}) {
        CHECK_TEXT(!peer::read_allotment_path(odd), odd);
    }
    for (const char* odd : {"", "0 some", "1", "1 few", "1 some 5", "1 some 5=1", "1 some x=1,1"}) {
        CHECK_TEXT(!peer::read_allotment_answer(odd), odd);
    }
}
