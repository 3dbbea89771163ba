// A call whose answer is being forwarded at its deadline.

#include "dispatch/call.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <optional>

using namespace savoryscale;
using namespace std::chrono_literals;

namespace {

// When an answer is ended whose target sends its last bytes at `last`, both since the deadline.
duration ended_at(duration last)
{
    duration now{};
    while (const auto more =
               dispatch::overdue_answer_may_go_on({now, last < now ? now - last : duration{}})) {
        now += *more;
    }
    return now;
}

} // namespace

TEST_GROUP(call_deadline){};

TEST(call_deadline, an_answer_ends_at_the_deadline_or_while_half_a_second_is_not_over)
{
    CHECK(ended_at(-10s) == 0s);
    CHECK(ended_at(-300ms) == 0s);
    CHECK(ended_at(-100ms) > 0s);
    for (const duration last : {duration{-100ms}, duration{0ms}, duration{100ms}, duration{10s}}) {
        CHECK(ended_at(last) <= 400ms);
    }
}

// The quiet of a target that the host does not read from says nothing; the bound stays.
TEST(call_deadline, an_answer_that_waits_for_its_caller_ends_when_its_extra_time_is_over)
{
    const auto more = dispatch::overdue_answer_may_go_on({0ms, 10s, true});
    CHECK(more && *more > 0ms && *more <= 400ms);
    CHECK(!dispatch::overdue_answer_may_go_on({*more, 10s, true}));
}

TEST(call_deadline, an_overdue_answer_is_cut_and_its_attempt_cancelled_once)
{
    dispatch::call state;
    dispatch::begin(state);
    dispatch::on_attempt_sent(state, 0);
    LONGS_EQUAL(0, dispatch::on_answer_overdue(state).count_);
    dispatch::on_answer_started(state, 0, false);
    const auto todo = dispatch::on_answer_overdue(state);
    LONGS_EQUAL(2, todo.count_);
    CHECK(todo.items_[0].kind_ == dispatch::action_kind::cancel_attempt);
    CHECK(todo.items_[1].kind_ == dispatch::action_kind::close_caller);
    LONGS_EQUAL(0, dispatch::on_answer_overdue(state).count_);
}
