// Who is served while a service has too little room: the decision, and what callers get of a surge
// in virtual time, with their own repeats.

#include "admission/room.hpp"
#include "routing/service_view.hpp"
#include "routing/slot_claim.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;
using admission::standing;

TEST_GROUP(room)
{
    time_point now = time_point{} + 100s;
    admission::room seen;
    admission::room_request fresh{0ms, 3s, 300ms, 100ms};
    admission::room_request late{1s, 2s, 300ms, 100ms};
};

TEST(room, takes_hold_after_a_few_searches_and_lets_go_within_a_second)
{
    CHECK(standing::ample == admission::standing_of(seen, late, now));
    for (int search = 0; search < 8; ++search) {
        admission::on_room_seen(seen, 4, 0, now);
    }
    CHECK(standing::timely == admission::standing_of(seen, fresh, now));
    CHECK(standing::overdue == admission::standing_of(seen, late, now));
    CHECK(standing::ample == admission::standing_of(seen, late, now + 1s));
    for (int search = 0; search < 3; ++search) {
        admission::on_room_seen(seen, 4, 3, now);
    }
    CHECK(standing::ample == admission::standing_of(seen, late, now));
}

TEST(room, a_late_caller_near_its_end_goes_before_one_that_can_return)
{
    admission::on_room_seen(seen, 100, 0, now);
    late.tried_ = 1700ms;
    late.left_ = 1300ms;
    CHECK(standing::closing == admission::standing_of(seen, late, now));
    late.left_.reset();
    CHECK(standing::closing == admission::standing_of(seen, late, now));
    late.objective_.reset();
    CHECK(standing::ample == admission::standing_of(seen, late, now));
}

TEST(room, late_callers_return_after_a_part_of_their_time_and_timely_ones_at_once)
{
    CHECK(50ms == admission::return_time(standing::timely, fresh, 50ms));
    CHECK(50ms == admission::return_time(standing::ample, late, 50ms));
    const duration later = admission::return_time(standing::overdue, late, 50ms);
    CHECK(later > 400ms && later <= 2000ms / 3);
}

// A limit above the usual one counts as the usual one, also for the others; a shorter one makes its
// caller late.
TEST(room, false_limits_gain_nothing)
{
    admission::stated_limits limits;
    for (int i = 0; i < 200; ++i) {
        admission::on_limit_stated(limits, i % 20 == 0 ? 24h : i % 3 == 0 ? 3s : 2s);
    }
    CHECK(0ms == admission::time_tried(limits, 24h));
    CHECK(0ms == admission::time_tried(limits, 3s));
    CHECK(1s == admission::time_tried(limits, 2s));
    CHECK(0ms == admission::time_tried({}, 2s));
}

namespace {

constexpr duration objective = 300ms;
constexpr duration limit = 3s;

// Many hosts with few requests each, targets of two slots that are slower when both are in use and
// four times as slow for 0.3 of the time, and callers that return twice when they are refused.
class surge {
public:
    struct result {
        int requests_ = 0;
        int in_time_ = 0;
        int served_ = 0;
        std::vector<int> begun_in_time_ = std::vector<int>(6); // in each half second of the surge
    };

    static constexpr int target_count = 96;
    static constexpr double work_s = 0.1;
    static constexpr double full_slowdown = 1.7;

    surge(std::uint64_t seed, bool decides, std::size_t hosts = 39)
        : random_{seed}, decides_{decides}, rooms_(hosts), targets_(target_count)
    {
        settings::service service;
        service.name_ = "ledger";
        std::vector<routing::target_info> all(target_count);
        for (int i = 0; i < target_count; ++i) {
            all[static_cast<std::size_t>(i)].address_ = {"10.0.0." + std::to_string(i), 80};
        }
        routing::service_view view = routing::make_view(service, "", routing::policy::probed);
        routing::update_targets(view, all, now_);
        view.mean_latency_ns_ = work_s * 1.7e9; // as under load
        views_.assign(hosts, view);
        for (int i = 0; i < 3000; ++i) {
            after(3ms * i, [this] { change_noise(uniform_below(random_, target_count)); });
        }
    }

    // Two seconds at `usual` requests a second, three at `most`, two at `usual`.
    result run(double usual, double most)
    {
        for (double at = 0; at < 7;) {
            at += -std::log(1 - uniform_unit(random_)) / (at >= 2 && at < 5 ? most : usual);
            const duration due = seconds(at);
            after(due, [this, due] { arrive({start_ + due, 0, at_surge(due)}); });
        }
        while (!events_.empty()) {
            const auto first = events_.begin();
            now_ = first->first;
            const auto action = std::move(first->second);
            events_.erase(first);
            action();
        }
        return result_;
    }

private:
    struct request {
        time_point began_{};
        int retries_ = 0;
        bool counts_ = false;
    };
    struct target {
        std::vector<request> running_;
        std::vector<request> waiting_;
        double slowdown_ = 1;
    };

    static duration seconds(double value)
    {
        return duration{static_cast<std::int64_t>(value * 1e9)};
    }
    static bool at_surge(duration due) { return due >= 2s && due < 5s; }

    void after(duration wait, std::function<void()> action)
    {
        events_.emplace(now_ + wait, std::move(action));
    }

    void change_noise(std::size_t index)
    {
        targets_[index].slowdown_ = uniform_unit(random_) < 0.3 ? 4 : 1;
    }

    routing::probed_target probe(routing::target_index index) const
    {
        const target& asked = targets_[index];
        routing::load_report load;
        load.requests_in_flight_ =
            static_cast<double>(asked.running_.size() + asked.waiting_.size());
        load.slots_ = 2;
        load.slowdown_ = asked.slowdown_;
        return {index, load};
    }

    void arrive(const request& one)
    {
        result_.requests_ += one.counts_ && one.retries_ == 0 ? 1 : 0;
        const std::size_t host = uniform_below(random_, rooms_.size());
        routing::service_view& view = views_[host];
        const duration tried = now_ - one.began_;
        const admission::room_request claim{tried, limit - tried, objective,
                                            routing::usual_work(view)};
        const standing chosen =
            decides_ ? admission::standing_of(rooms_[host], claim, now_) : standing::ample;
        const routing::slot_claim slot = chosen == standing::ample ? routing::slot_claim::any
                                         : chosen == standing::timely
                                             ? routing::slot_claim::in_time
                                             : routing::slot_claim::free_slot;
        std::vector<routing::probed_target> all;
        for (const auto index : routing::probe_candidates(view, {}, 4, false, now_, random_)) {
            all.push_back(probe(index));
        }
        std::optional<routing::placed_attempt> placed;
        for (const auto& options : routing::options_for(slot, objective - tried)) {
            if (!placed) {
                placed = routing::place(view, all, options, now_, random_);
            }
        }
        admission::on_room_seen(rooms_[host], all.size(),
                                routing::count_in_time(view, all, objective, now_), now_);
        if (!placed || placed->expected_ * 4 / 5 > limit - tried) {
            refuse(one,
                   admission::return_time(chosen, claim, routing::time_to_free_slot(view, all)));
            return;
        }
        after(2ms, [this, one, index = placed->target_] {
            targets_[index].waiting_.push_back(one);
            start(index);
        });
    }

    void refuse(request one, duration wait)
    {
        const duration left = one.began_ + limit - now_;
        if (one.retries_++ < 2) {
            const duration spread = seconds((0.75 + 0.5 * uniform_unit(random_)) *
                                            std::chrono::duration<double>{wait}.count());
            after(std::min(spread, left / 3) + 30ms, [this, one] { arrive(one); });
        }
    }

    void start(std::size_t index)
    {
        target& at = targets_[index];
        while (at.running_.size() < 2 && !at.waiting_.empty()) {
            at.running_.push_back(at.waiting_.front());
            at.waiting_.erase(at.waiting_.begin());
            const double full = at.running_.size() == 2 ? full_slowdown : 1;
            const double spread = 0.6 + 0.8 * uniform_unit(random_);
            after(seconds(work_s * spread * full * at.slowdown_),
                  [this, index, one = at.running_.back()] { end(index, one); });
        }
    }

    void end(std::size_t index, const request& one)
    {
        target& at = targets_[index];
        at.running_.erase(
            std::find_if(at.running_.begin(), at.running_.end(),
                         [&](const auto& each) { return each.began_ == one.began_; }));
        const duration taken = now_ + 16ms - one.began_;
        if (one.counts_ && taken <= limit) {
            ++result_.served_;
            if (taken <= objective) {
                ++result_.in_time_;
                ++result_
                      .begun_in_time_[static_cast<std::size_t>((one.began_ - start_ - 2s) / 500ms)];
            }
        }
        start(index);
    }

    random_source random_;
    bool decides_;
    time_point start_ = time_point{} + 100s;
    time_point now_ = start_;
    std::vector<admission::room> rooms_;
    std::vector<routing::service_view> views_;
    std::vector<target> targets_;
    std::multimap<time_point, std::function<void()>> events_;
    result result_;
};

surge::result surges(bool decides, double usual, double most)
{
    surge::result sum;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto one = surge{seed, decides}.run(usual, most);
        sum.requests_ += one.requests_;
        sum.in_time_ += one.in_time_;
        sum.served_ += one.served_;
    }
    return sum;
}

} // namespace

// Three seconds at twice what the targets can do.
TEST(room, a_surge_is_answered_in_time_rather_than_late)
{
    const auto before = surges(false, 350, 1100);
    const auto after = surges(true, 350, 1100);
    CHECK(after.in_time_ > 1.3 * before.in_time_);
    CHECK(after.served_ > 0.97 * before.served_);
}

// 122 hosts that decide alike do not swing: every half second of the surge, after the first
// second, is served like the others.
TEST(room, many_hosts_alike_do_not_swing)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto halves = surge{seed, true, 122}.run(350, 1100).begun_in_time_;
        const auto [least, most] = std::minmax_element(halves.begin() + 2, halves.end());
        CHECK(*least > 0.6 * *most);
    }
}

TEST(room, with_room_for_all_nothing_changes)
{
    const auto before = surges(false, 200, 300);
    const auto after = surges(true, 200, 300);
    LONGS_EQUAL(before.in_time_, after.in_time_);
    LONGS_EQUAL(before.served_, after.served_);
}
