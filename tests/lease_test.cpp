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

// One object with conditional writes. Version 0 means that it does not exist.
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

// Contenders and one object, connected by a network that loses and delays calls and answers.
// Contenders are paused at times and resume with outdated state.
struct lease_simulation {
    explicit lease_simulation(std::uint64_t seed) : random_{seed}
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

    void answer(std::size_t index, const object_reply& reply)
    {
        if (now_ < paused_until_[index]) {
            events_.emplace(paused_until_[index], [=, this] { answer(index, reply); });
            return;
        }
        on_reply(contenders_[index], reply, now_, random_);
    }

    // A call without an answer within 1 s has an unknown outcome; it may still arrive later.
    void send(std::size_t index, const lease_call& call)
    {
        if (chance(loss_)) {
            const bool arrives_late = chance(0.5);
            if (arrives_late) {
                schedule(seconds{8}, [=, this] { object_.apply(call); });
            }
            events_.emplace(now_ + seconds{1}, [=, this] {
                answer(index, {call_status::unknown, {}});
            });
            return;
        }
        schedule(milliseconds{300}, [=, this] {
            const object_reply reply = object_.apply(call);
            schedule(milliseconds{300}, [=, this] { answer(index, reply); });
        });
    }

    // Runs for the given time in steps of 20 ms; returns the maximum number of concurrent holders.
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
            for (std::size_t index = 0; index < contenders_.size(); ++index) {
                holders += is_held(contenders_[index], now_) ? 1 : 0;
                step(index);
            }
            most = std::max(most, holders);
            held_steps_ += holders;
        }
        return most;
    }

    void step(std::size_t index)
    {
        if (now_ < paused_until_[index]) {
            return;
        }
        if (chance(pause_)) {
            paused_until_[index] = now_ + seconds{15};
            return;
        }
        if (const auto call = on_timer(contenders_[index], true, now_)) {
            send(index, *call);
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

    // Completes one due call. `reply`, when given, replaces the answer.
    void step(lease & state, std::optional<object_reply> reply = {}, bool reaches = true)
    {
        const auto call = on_timer(state, true, now_);
        CHECK(call.has_value());
        const object_reply actual = reaches ? object_.apply(*call) : object_reply{};
        on_reply(state, reply.value_or(actual), now_, random_);
    }
};

TEST(lease, is_acquired_when_free_and_expires_by_the_local_clock)
{
    lease state = contender("a");
    step(state);
    CHECK_FALSE(is_held(state, now_));
    step(state);
    CHECK(is_held(state, now_ + milliseconds{8999}));
    CHECK_FALSE(is_held(state, now_ + seconds{9}));
}

TEST(lease, the_term_counts_from_when_the_write_was_sent)
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
    // The first holder resumes and still considers itself the holder: its write fails, and it gives
    // up the lease.
    holder.next_call_ = now_;
    step(holder);
    CHECK_FALSE(is_held(holder, now_));
    step(holder);
    CHECK(is_held_by_other(holder, now_));
}

TEST(lease, a_lost_answer_is_resolved_by_a_read)
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

TEST(lease, a_late_write_extends_the_lease_only_from_its_own_start)
{
    lease state = contender("a");
    step(state);
    const auto late = on_timer(state, true, now_);
    on_reply(state, {call_status::unknown, {}}, now_, random_);
    now_ += seconds{2};
    step(state); // reads; the late write has not arrived yet
    object_.apply(*late);
    now_ += seconds{3};
    step(state); // its next write conflicts with the late one
    step(state); // reads its own record
    CHECK(is_held(state, time_point{} + milliseconds{8999}));
    CHECK_FALSE(is_held(state, time_point{} + seconds{9}));
}

TEST(lease, is_released_when_no_longer_wanted)
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
        lease_simulation all{seed};
        all.loss_ = 0.3;
        all.pause_ = 0.002;
        LONGS_EQUAL(1, all.run(seconds{600}));
    }
}

TEST(lease, is_held_almost_always_on_a_network_without_loss)
{
    lease_simulation all{99};
    LONGS_EQUAL(1, all.run(seconds{100}));
    CHECK(all.held_steps_ > 4900); // of 5000
}
