#include "dispatch/call.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::dispatch {

namespace {

constexpr int status_not_run = 503;
constexpr int status_broken = 502;
constexpr int status_deadline = 504;
constexpr int first_server_error = 500;

// An answer whose bytes still arrive at the deadline may take this much longer: what is left of a
// long one is sent sooner than a new attempt would bring it. Callers are promised an end within
// half a second of the deadline; the rest of that time is for the timers of a busy host.
constexpr duration overdue_answer_max = std::chrono::milliseconds{300};

// A target that has sent nothing for this long is taken as silent: longer than a lost packet
// takes to be sent again inside a region (200 ms at least in the kernel).
constexpr duration answer_quiet_max = std::chrono::milliseconds{250};

// A request with two broken attempts is not sent to a third target: it may be crashing them.
constexpr std::uint8_t broken_max = 2;

bool is_live(const attempt& item)
{
    return item.phase_ != attempt_phase::ended;
}

// Whether any attempt except `except` is live; attempts_max means no exception.
bool any_live(const call& state, std::size_t except)
{
    for (std::size_t i = 0; i < state.attempt_count_; ++i) {
        if (i != except && is_live(state.attempts_[i])) {
            return true;
        }
    }
    return false;
}

bool has_attempt_left(const call& state)
{
    return state.attempt_count_ < state.rules_.attempts_max_ && state.body_replayable_;
}

action open_next(call& state)
{
    const attempt_id id = state.attempt_count_++;
    state.attempts_[id] = attempt{};
    return {action_kind::open_attempt, id, 0, outcome::not_run};
}

void cancel_others(call& state, actions& todo, std::size_t keep)
{
    for (std::size_t i = 0; i < state.attempt_count_; ++i) {
        if (i != keep && is_live(state.attempts_[i])) {
            state.attempts_[i].phase_ = attempt_phase::ended;
            todo.add({action_kind::cancel_attempt, static_cast<attempt_id>(i), 0, {}});
        }
    }
}

void answer_locally(call& state, actions& todo, int status)
{
    state.phase_ = call_phase::finished;
    const outcome call_outcome = may_have_run(state) ? outcome::unknown : outcome::not_run;
    // The status of a refusal promises that the request did not run, so it is used only with the
    // outcome not_run.
    const int safe_status = call_outcome == outcome::not_run ? status_not_run
                            : status == status_not_run       ? status_broken
                                                             : status;
    todo.add({action_kind::answer, 0, safe_status, call_outcome});
}

} // namespace

std::string_view to_string(outcome value)
{
    return value == outcome::not_run ? "not-run" : "unknown";
}

bool may_have_run(const call& state)
{
    for (std::size_t i = 0; i < state.attempt_count_; ++i) {
        if (state.attempts_[i].may_have_run_) {
            return true;
        }
    }
    return false;
}

bool wants_retry(const call& state, attempt_id id, attempt_failure failure)
{
    if (state.phase_ != call_phase::waiting || !has_attempt_left(state) ||
        failure == attempt_failure::no_target) {
        return false;
    }
    if (any_live(state, id)) {
        return false; // the other attempt may still answer
    }
    if (failure != attempt_failure::broken) {
        return true; // proved not to have run
    }
    return state.rules_.repeatable_ && state.rules_.may_retry_ &&
           state.broken_count_ + 1 < broken_max;
}

bool wants_retry_of_answer(const call& state, attempt_id id, int status)
{
    if (status < first_server_error || !state.rules_.repeatable_ || !state.rules_.may_retry_ ||
        state.phase_ != call_phase::waiting || !has_attempt_left(state)) {
        return false;
    }
    return !any_live(state, id);
}

bool wants_hedge(const call& state)
{
    return state.phase_ == call_phase::waiting && state.rules_.repeatable_ &&
           state.rules_.may_hedge_ && state.rules_.may_retry_ && state.attempt_count_ == 1 &&
           state.attempts_[0].phase_ == attempt_phase::sent && has_attempt_left(state);
}

actions begin(call& state)
{
    actions todo;
    todo.add(open_next(state));
    return todo;
}

void on_attempt_sent(call& state, attempt_id id)
{
    state.attempts_[id].phase_ = attempt_phase::sent;
    state.attempts_[id].may_have_run_ = true;
}

void on_attempt_returned(call& state, attempt_id id)
{
    attempt& returned = state.attempts_[id];
    if (is_live(returned)) {
        returned.phase_ = attempt_phase::opening;
        returned.may_have_run_ = false;
    }
}

actions on_attempt_ended(call& state, attempt_id id, attempt_failure failure, bool granted)
{
    actions todo;
    attempt& ended = state.attempts_[id];
    if (!is_live(ended)) {
        return todo;
    }
    ended.phase_ = attempt_phase::ended;
    if (failure == attempt_failure::broken) {
        ++state.broken_count_;
    }
    else {
        ended.may_have_run_ = false;
    }
    if (state.phase_ == call_phase::finished) {
        return todo;
    }
    if (state.phase_ == call_phase::answering) {
        if (id == state.winner_) {
            state.phase_ = call_phase::finished;
            todo.add({action_kind::close_caller, id, 0, outcome::unknown});
        }
        return todo;
    }
    if (granted) {
        todo.add(open_next(state));
    }
    else if (!any_live(state, attempts_max)) {
        answer_locally(state, todo, status_broken);
    }
    return todo;
}

actions on_answer_started(call& state, attempt_id id, bool granted)
{
    actions todo;
    attempt& answering = state.attempts_[id];
    if (!is_live(answering) || state.phase_ != call_phase::waiting) {
        return todo;
    }
    if (granted) {
        answering.phase_ = attempt_phase::ended;
        todo.add({action_kind::cancel_attempt, id, 0, outcome::unknown});
        todo.add(open_next(state));
        return todo;
    }
    answering.phase_ = attempt_phase::answering;
    state.phase_ = call_phase::answering;
    state.winner_ = id;
    cancel_others(state, todo, id);
    todo.add({action_kind::forward_answer, id, 0, outcome::unknown});
    return todo;
}

void on_answer_completed(call& state)
{
    state.attempts_[state.winner_].phase_ = attempt_phase::ended;
    state.phase_ = call_phase::finished;
}

actions hedge(call& state)
{
    actions todo;
    todo.add(open_next(state));
    return todo;
}

actions on_deadline_passed(call& state)
{
    actions todo;
    if (state.phase_ != call_phase::waiting) {
        return todo;
    }
    cancel_others(state, todo, attempts_max);
    answer_locally(state, todo, status_deadline);
    return todo;
}

std::optional<duration> overdue_answer_may_go_on(const overdue_answer& answer)
{
    const duration quiet_left =
        answer.waits_for_caller_ ? duration::max() : answer_quiet_max - answer.quiet_;
    const duration left = std::min(overdue_answer_max - answer.late_, quiet_left);
    return left > duration::zero() ? std::optional{left} : std::nullopt;
}

actions on_answer_overdue(call& state)
{
    actions todo;
    if (state.phase_ != call_phase::answering) {
        return todo;
    }
    cancel_others(state, todo, attempts_max);
    state.phase_ = call_phase::finished;
    todo.add({action_kind::close_caller, state.winner_, 0, outcome::unknown});
    return todo;
}

actions on_caller_left(call& state)
{
    actions todo;
    if (state.phase_ == call_phase::finished) {
        return todo;
    }
    cancel_others(state, todo, attempts_max);
    state.phase_ = call_phase::finished;
    return todo;
}

} // namespace savoryscale::dispatch
