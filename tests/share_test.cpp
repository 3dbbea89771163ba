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

struct flying_message {
    std::size_t from_ = 0;
    std::size_t to_ = 0;
    bool is_grant_ = false;
    share_message message_;
};

// Hosts that ask each other over a network that loses, delays and repeats, and that restart.
struct fleet {
    explicit fleet(std::uint64_t seed) : random_{seed}
    {
        for (std::uint32_t i = 0; i < hosts_max; ++i) {
            hosts_.push_back(make_share(settings_of_all(), 0, now_));
        }
    }

    bool chance(double ratio) { return uniform_unit(random_) < ratio; }

    void send(const flying_message& sent)
    {
        for (int copies = chance(repeat_) ? 2 : 1; copies > 0; --copies) {
            if (!chance(loss_)) {
                const auto late = static_cast<std::int64_t>(uniform_below(random_, delay_ms_));
                flying_.emplace(now_ + milliseconds{late}, sent);
            }
        }
    }

    void deliver(const flying_message& heard)
    {
        share& to = hosts_[heard.to_];
        if (heard.is_grant_) {
            on_grant(to, heard.message_, now_);
        }
        else if (const auto grant = on_ask(to, std::to_string(heard.from_), heard.message_, now_)) {
            send({heard.to_, heard.from_, true, *grant});
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
        if (const auto wanted = ask(hosts_[host], now_)) {
            const std::size_t to = (host + 1 + uniform_below(random_, hosts_max - 1)) % hosts_max;
            send({host, to, false, *wanted});
        }
    }

    std::uint64_t in_use() const
    {
        std::uint64_t sum = 0;
        for (const share& each : hosts_) {
            sum += usable(each, now_);
        }
        return sum;
    }

    // Returns the largest sum of what may be used at any time.
    std::uint64_t run(duration time)
    {
        std::uint64_t most = 0;
        for (const time_point end = now_ + time; now_ < end; now_ += milliseconds{50}) {
            while (!flying_.empty() && flying_.begin()->first <= now_) {
                const flying_message heard = flying_.begin()->second;
                flying_.erase(flying_.begin());
                deliver(heard);
                most = std::max(most, in_use());
            }
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                step_host(host);
                grants_seen_ += hosts_[host].taken_.size();
            }
            most = std::max(most, in_use());
        }
        return most;
    }

    random_source random_;
    time_point now_{};
    std::vector<share> hosts_;
    std::multimap<time_point, flying_message> flying_;
    double loss_ = 0;
    double repeat_ = 0;
    double restart_ = 0;
    std::uint64_t delay_ms_ = 5;
    std::uint64_t grants_seen_ = 0;
};

} // namespace

TEST_GROUP(share)
{
    time_point now_{};
    share giver_ = make_share(settings_of_all(), 0, now_);
    share taker_ = make_share(settings_of_all(), 0, now_);

    void settle()
    {
        now_ += seconds{10};
        giver_.wanted_ = 0;
        taker_.wanted_ = 40;
    }
};

TEST(share, the_half_that_may_be_given_counts_after_a_full_term)
{
    LONGS_EQUAL(10, usable(giver_, now_ + milliseconds{9999}));
    LONGS_EQUAL(20, usable(giver_, now_ + seconds{10}));
}

TEST(share, unused_share_moves_for_one_term)
{
    settle();
    const auto asked = ask(taker_, now_);
    LONGS_EQUAL(20, asked->amount_);
    const auto granted = on_ask(giver_, "taker", *asked, now_);
    LONGS_EQUAL(10, granted->amount_);
    on_grant(taker_, *granted, now_ + seconds{2});
    LONGS_EQUAL(10, usable(giver_, now_));
    LONGS_EQUAL(30, usable(taker_, now_ + seconds{2}));
    LONGS_EQUAL(20, usable(taker_, now_ + seconds{9}));
    LONGS_EQUAL(20, usable(giver_, now_ + seconds{10}));
    CHECK(next_change(giver_, now_) == now_ + seconds{10});
}

TEST(share, a_repeated_ask_gets_the_same_grant_and_deducts_once)
{
    settle();
    const auto asked = ask(taker_, now_);
    const auto first = on_ask(giver_, "taker", *asked, now_);
    const auto second = on_ask(giver_, "taker", *asked, now_ + seconds{1});
    CHECK(*first == *second);
    LONGS_EQUAL(1, giver_.given_.size());
    on_grant(taker_, *first, now_);
    on_grant(taker_, *second, now_);
    LONGS_EQUAL(30, usable(taker_, now_));
}

TEST(share, nothing_is_given_that_is_wanted_or_not_known_to_be_unused)
{
    settle();
    const auto asked = ask(taker_, now_);
    giver_.wanted_ = 17;
    LONGS_EQUAL(3, on_ask(giver_, "taker", *asked, now_)->amount_);
    giver_.given_.clear();
    giver_.wanted_.reset();
    CHECK_FALSE(on_ask(giver_, "taker", *asked, now_).has_value());
}

TEST(share, a_late_grant_is_without_effect)
{
    settle();
    const auto asked = ask(taker_, now_);
    const auto granted = on_ask(giver_, "taker", *asked, now_);
    on_grant(taker_, *granted, now_ + seconds{9});
    LONGS_EQUAL(20, usable(taker_, now_ + seconds{9}));
}

TEST(share, the_total_is_never_exceeded)
{
    std::uint64_t grants = 0;
    CHECK(rc::check("under loss, delay, repeats and restarts", [&] {
        fleet all{*rc::gen::arbitrary<std::uint64_t>()};
        all.loss_ = *rc::gen::element(0.0, 0.2);
        all.repeat_ = *rc::gen::element(0.0, 0.3);
        all.restart_ = *rc::gen::element(0.0, 0.001, 0.01);
        all.delay_ms_ = *rc::gen::element<std::uint64_t>(5, 2000, 30000);
        RC_ASSERT(all.run(seconds{120}) <= total);
        grants += all.grants_seen_;
    }));
    CHECK(grants > 0);
}

TEST(share, demand_moves_the_total_to_where_it_is)
{
    settle();
    taker_.wanted_ = total;
    for (const char* peer : {"b", "c", "d", "e"}) {
        share other = make_share(settings_of_all(), 0, time_point{});
        other.wanted_ = 0;
        const auto asked = ask(taker_, now_);
        CHECK(asked.has_value());
        on_grant(taker_, on_ask(other, peer, *asked, now_).value(), now_);
        now_ += seconds{1};
    }
    LONGS_EQUAL(60, usable(taker_, now_)); // its base of 20 and half of four others'
}
