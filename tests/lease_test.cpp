#include "membership/lease.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store::call_status;
using store::object_reply;
using store::operation;

namespace {

// One object with conditional writes. Version 0: it does not exist.
struct fake_object {
    std::string value_;
    std::uint64_t version_ = 0;

    object_reply apply(const lease_call& call)
    {
        if (call.operation_ == operation::get) {
            return version_ == 0 ? object_reply{call_status::not_found, {}} : reply();
        }
        if (call.expected_version_ != version_) {
            return {call_status::conflict, {}};
        }
        value_ = call.value_;
        ++version_;
        return reply();
    }

    object_reply reply() const { return {call_status::ok, {{"lease", value_, version_}}}; }
};

lease contender(const std::string& holder)
{
    lease state;
    state.settings_.key_ = "lease";
    state.settings_.holder_ = holder;
    return state;
}

// Contenders and one object, joined by a network that loses and delays calls and answers.
// Contenders are paused at times, and wake with what they had believed.
struct contest {
    explicit contest(std::uint64_t seed) : random_{seed}
    {
        for (const char* name : {"a", "b", "c"}) {
            contenders_.push_back(contender(name));
            paused_until_.push_back(time_point{});
        }
    }

    void schedule(duration at_most, std::function<void()> event)
    {
        const auto span = static_cast<std::uint64_t>(at_most.count());
        const duration wait{static_cast<std::int64_t>(uniform_below(random_, span + 1))};
        events_.emplace(now_ + wait, std::move(event));
    }

    bool chance(double ratio) { return uniform_unit(random_) < ratio; }

    void answer(std::size_t who, const object_reply& reply)
    {
        if (now_ < paused_until_[who]) {
            events_.emplace(paused_until_[who], [=, this] { answer(who, reply); });
            return;
        }
        on_reply(contenders_[who], reply, now_, random_);
    }

    // A call that got no answer in a second is unknown; the call itself may still arrive later.
    void send(std::size_t who, const lease_call& call)
    {
        if (chance(loss_)) {
            const bool lands_late = chance(0.5);
            if (lands_late) {
                schedule(seconds{8}, [=, this] { object_.apply(call); });
            }
            events_.emplace(now_ + seconds{1}, [=, this] {
                answer(who, {call_status::unknown, {}});
            });
            return;
        }
        schedule(milliseconds{300}, [=, this] {
            const object_reply reply = object_.apply(call);
            schedule(milliseconds{300}, [=, this] { answer(who, reply); });
        });
    }

    // Runs for a time in steps of 20 ms; returns the most holders seen at once.
    std::size_t run(duration time)
    {
        std::size_t most = 0;
        for (const time_point end = now_ + time; now_ < end; now_ += milliseconds{20}) {
            while (!events_.empty() && events_.begin()->first <= now_) {
                const std::function<void()> event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            std::size_t holders = 0;
            for (std::size_t who = 0; who < contenders_.size(); ++who) {
                holders += is_held(contenders_[who], now_) ? 1 : 0;
                step(who);
            }
            most = std::max(most, holders);
            held_steps_ += holders;
        }
        return most;
    }

    void step(std::size_t who)
    {
        if (now_ < paused_until_[who]) {
            return;
        }
        if (chance(pause_)) {
            paused_until_[who] = now_ + seconds{15};
            return;
        }
        if (const auto call = on_timer(contenders_[who], true, now_)) {
            send(who, *call);
        }
    }

    random_source random_;
    fake_object object_;
    std::vector<lease> contenders_;
    std::vector<time_point> paused_until_;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_{};
    std::size_t held_steps_ = 0;
    double loss_ = 0;
    double pause_ = 0;
};

} // namespace

TEST_GROUP(lease)
{
    random_source random_{1};
    fake_object object_;
    time_point now_{};

    // Runs one due call to its end; `reply` replaces the answer when given.
    void step(lease & state, std::optional<object_reply> reply = {}, bool reaches = true)
    {
        const auto call = on_timer(state, true, now_);
        CHECK(call.has_value());
        const object_reply truth = reaches ? object_.apply(*call) : object_reply{};
        on_reply(state, reply.value_or(truth), now_, random_);
    }
};

TEST(lease, is_taken_when_free_and_lapses_by_the_own_clock)
{
    lease state = contender("a");
    step(state);
    CHECK_FALSE(is_held(state, now_));
    step(state);
    CHECK(is_held(state, now_ + milliseconds{8999}));
    CHECK_FALSE(is_held(state, now_ + seconds{9}));
}

TEST(lease, the_term_counts_from_the_sending_of_the_write)
{
    lease state = contender("a");
    step(state);
    const auto call = on_timer(state, true, now_);
    on_reply(state, object_.apply(*call), now_ + seconds{5}, random_);
    CHECK(is_held(state, now_ + milliseconds{8999}));
    CHECK_FALSE(is_held(state, now_ + seconds{9}));
}

TEST(lease, is_taken_over_only_after_a_full_term_without_a_renewal)
{
    lease holder = contender("a");
    lease other = contender("b");
    step(holder);
    step(holder);
    step(other);
    for (int i = 0; i < 10; ++i) {
        now_ += milliseconds{999};
        if (const auto call = on_timer(other, true, now_)) {
            CHECK(call->operation_ == operation::get);
            on_reply(other, object_.apply(*call), now_, random_);
        }
    }
    now_ += seconds{4};
    step(other);
    CHECK(is_held(other, now_));
    // The first holder wakes still believing: its write fails and it stands back.
    holder.next_call_ = now_;
    step(holder);
    CHECK_FALSE(is_held(holder, now_));
    step(holder);
    CHECK(is_held_by_other(holder, now_));
}

TEST(lease, a_lost_answer_is_settled_by_reading)
{
    lease state = contender("a");
    step(state);
    step(state, object_reply{call_status::unknown, {}});
    CHECK_FALSE(is_held(state, now_));
    LONGS_EQUAL(1, object_.version_);
    now_ += seconds{2};
    const auto call = on_timer(state, true, now_);
    CHECK(call->operation_ == operation::get);
    on_reply(state, object_.apply(*call), now_, random_);
    CHECK(is_held(state, time_point{} + milliseconds{8999}));
    CHECK_FALSE(is_held(state, time_point{} + seconds{9}));
    LONGS_EQUAL(1, object_.version_);
}

TEST(lease, a_write_that_lands_late_extends_nothing_beyond_its_own_start)
{
    lease state = contender("a");
    step(state);
    const auto late = on_timer(state, true, now_);
    on_reply(state, {call_status::unknown, {}}, now_, random_);
    now_ += seconds{2};
    step(state); // reads: not there yet
    object_.apply(*late);
    now_ += seconds{3};
    step(state); // its next write conflicts with the late one
    step(state); // reads its own record
    CHECK(is_held(state, time_point{} + milliseconds{8999}));
    CHECK_FALSE(is_held(state, time_point{} + seconds{9}));
}

TEST(lease, is_given_back_when_no_longer_wanted)
{
    lease state = contender("a");
    step(state);
    step(state);
    now_ += seconds{3};
    const auto call = on_timer(state, false, now_);
    CHECK(call->operation_ == operation::update);
    CHECK_FALSE(is_held(state, now_));
    on_reply(state, object_.apply(*call), now_, random_);
    lease other = contender("b");
    step(other);
    step(other);
    CHECK(is_held(other, now_));
}

TEST(lease, two_contenders_never_hold_it_at_once)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        contest all{seed};
        all.loss_ = 0.3;
        all.pause_ = 0.002;
        LONGS_EQUAL(1, all.run(seconds{600}));
    }
}

TEST(lease, is_held_nearly_always_on_a_quiet_network)
{
    contest all{99};
    LONGS_EQUAL(1, all.run(seconds{100}));
    CHECK(all.held_steps_ > 4900); // of 5000
}
