#include "base/random.hpp"
#include "membership/share.hpp"

#include <rapidcheck.h>

#include <map>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::membership;
using peer::share_message;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t total = 100;
constexpr std::uint32_t hosts_max = 5;

share_settings settings_of_all()
{
    return {"probes/photo", total, hosts_max, seconds{10}, seconds{1}};
}

struct in_flight_message {
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    bool is_grant_ = false;
    share_message message_;
};

// Hosts that send each other share requests over a network that loses, delays and duplicates
// messages. The hosts also restart.
struct fleet {
    explicit fleet(std::uint64_t seed) : random_{seed}
    {
        for (std::uint32_t i = 0; i < hosts_max; ++i) {
            hosts_.push_back(make_share(settings_of_all(), 0, now_));
        }
    }

    bool chance(double ratio) { return uniform_unit(random_) < ratio; }

    void send(const in_flight_message& sent)
    {
        for (int copies = chance(repeat_) ? 2 : 1; copies > 0; --copies) {
            if (!chance(loss_)) {
                const auto late = static_cast<std::int64_t>(uniform_below(random_, delay_ms_));
                in_flight_.emplace(now_ + milliseconds{late}, sent);
            }
        }
    }

    void deliver(const in_flight_message& received)
    {
        share& to = hosts_[received.to_];
        if (received.is_grant_) {
            on_share_grant(to, received.message_, now_);
        }
        else if (const auto grant = on_share_request(to, std::to_string(received.from_),
                                                     received.message_, now_)) {
            send({received.to_, received.from_, true, *grant});
        }
    }

    void step_host(std::size_t host)
    {
        if (chance(restart_)) {
            hosts_[host] = make_share(settings_of_all(), hosts_[host].next_nonce_, now_);
        }
        if (chance(0.02)) {
            hosts_[host].wanted_ = uniform_below(random_, 60);
        }
        if (const auto wanted = make_share_request(hosts_[host], now_)) {
            const std::size_t to = (host + 1 + uniform_below(random_, hosts_max - 1)) % hosts_max;
            send({host, to, false, *wanted});
        }
    }

    std::uint64_t total_usable() const
    {
        std::uint64_t sum = 0;
        for (const share& each : hosts_) {
            sum += usable_amount(each, now_);
        }
        return sum;
    }

    // Returns the largest sum of the usable amounts over the run.
    std::uint64_t run(duration time)
    {
        std::uint64_t most = 0;
        for (const time_point end = now_ + time; now_ < end; now_ += milliseconds{50}) {
            while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
                const in_flight_message received = in_flight_.begin()->second;
                in_flight_.erase(in_flight_.begin());
                deliver(received);
                most = std::max(most, total_usable());
            }
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                step_host(host);
                grant_steps_ += hosts_[host].received_.size();
            }
            most = std::max(most, total_usable());
        }
        return most;
    }

    random_source random_;
    time_point now_{};
    std::vector<share> hosts_;
    std::multimap<time_point, in_flight_message> in_flight_;
    double loss_ = 0;
    double repeat_ = 0;
    double restart_ = 0;
    std::uint64_t delay_ms_ = 5;
    std::uint64_t grant_steps_ = 0;
};

} // namespace

TEST_GROUP(share)
{
    time_point now_{};
    share grantor_ = make_share(settings_of_all(), 0, now_);
    share grantee_ = make_share(settings_of_all(), 0, now_);

    void pass_first_term()
    {
        now_ += seconds{10};
        grantor_.wanted_ = 0;
        grantee_.wanted_ = 40;
    }
};

TEST(share, the_grantable_half_is_usable_after_a_full_term)
{
    LONGS_EQUAL(10, usable_amount(grantor_, now_ + milliseconds{9999}));
    LONGS_EQUAL(20, usable_amount(grantor_, now_ + seconds{10}));
}

TEST(share, unused_share_is_granted_for_one_term)
{
    pass_first_term();
    const auto request = make_share_request(grantee_, now_);
    LONGS_EQUAL(20, request->amount_);
    const auto granted = on_share_request(grantor_, "grantee", *request, now_);
    LONGS_EQUAL(10, granted->amount_);
    on_share_grant(grantee_, *granted, now_ + seconds{2});
    LONGS_EQUAL(10, usable_amount(grantor_, now_));
    LONGS_EQUAL(30, usable_amount(grantee_, now_ + seconds{2}));
    LONGS_EQUAL(20, usable_amount(grantee_, now_ + seconds{9}));
    LONGS_EQUAL(20, usable_amount(grantor_, now_ + seconds{10}));
    CHECK(next_change(grantor_, now_) == now_ + seconds{10});
}

TEST(share, a_repeated_request_gets_the_same_grant_and_deducts_once)
{
    pass_first_term();
    const auto request = make_share_request(grantee_, now_);
    const auto first = on_share_request(grantor_, "grantee", *request, now_);
    const auto second = on_share_request(grantor_, "grantee", *request, now_ + seconds{1});
    CHECK(*first == *second);
    LONGS_EQUAL(1, grantor_.issued_.size());
    on_share_grant(grantee_, *first, now_);
    on_share_grant(grantee_, *second, now_);
    LONGS_EQUAL(30, usable_amount(grantee_, now_));
}

TEST(share, an_amount_in_demand_or_not_known_to_be_unused_is_not_granted)
{
    pass_first_term();
    const auto request = make_share_request(grantee_, now_);
    grantor_.wanted_ = 17;
    LONGS_EQUAL(3, on_share_request(grantor_, "grantee", *request, now_)->amount_);
    grantor_.issued_.clear();
    grantor_.wanted_.reset();
    CHECK_FALSE(on_share_request(grantor_, "grantee", *request, now_).has_value());
}

TEST(share, a_late_grant_has_no_effect)
{
    pass_first_term();
    const auto request = make_share_request(grantee_, now_);
    const auto granted = on_share_request(grantor_, "grantee", *request, now_);
    on_share_grant(grantee_, *granted, now_ + seconds{9});
    LONGS_EQUAL(20, usable_amount(grantee_, now_ + seconds{9}));
}

TEST(share, the_total_is_never_exceeded)
{
    std::uint64_t grants = 0;
    CHECK(rc::check("under loss, delay, duplicates and restarts", [&] {
        fleet all{*rc::gen::arbitrary<std::uint64_t>()};
        all.loss_ = *rc::gen::element(0.0, 0.2);
        all.repeat_ = *rc::gen::element(0.0, 0.3);
        all.restart_ = *rc::gen::element(0.0, 0.001, 0.01);
        all.delay_ms_ = *rc::gen::element<std::uint64_t>(5, 2000, 30000);
        RC_ASSERT(all.run(seconds{120}) <= total);
        grants += all.grant_steps_;
    }));
    CHECK(grants > 0);
}

TEST(share, a_host_with_all_the_demand_receives_every_grantable_half)
{
    pass_first_term();
    grantee_.wanted_ = total;
    for (const char* peer : {"b", "c", "d", "e"}) {
        share other = make_share(settings_of_all(), 0, time_point{});
        other.wanted_ = 0;
        const auto request = make_share_request(grantee_, now_);
        CHECK(request.has_value());
        on_share_grant(grantee_, on_share_request(other, peer, *request, now_).value(), now_);
        now_ += seconds{1};
    }
    // Its base of 20, and half of the bases of four others.
    LONGS_EQUAL(60, usable_amount(grantee_, now_));
}
