#pragma once

// The life of one call: attempts, retry, hedge, deadline, outcome. A pure state machine: each event
// returns the actions that the HTTP task carries out. Time enters only through the deadline and
// hedge events, which the task's timers raise.
//
// Two rules carry the promises. A call that may not be repeated has at most one attempt that may
// have reached an upstream. `not_run` is said only when every attempt is proved not to have run.

#include "routing/target.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savoryscale::dispatch {

// Attempts of one call, hedges among them, at most.
inline constexpr std::size_t attempts_max = 3;

// Names an attempt of one call: 0 to attempts_max - 1.
using attempt_id = std::uint8_t;

// What may be done for this call, fixed when it is admitted.
struct call_rules {
    bool repeatable_ = false;                  // by its method and the service's settings
    bool may_retry_ = true;                    // false: an earlier hop does the retrying
    bool may_hedge_ = false;                   // repeatable and without a body
    std::uint8_t attempts_max_ = attempts_max; // 1 to attempts_max
};

enum class attempt_phase : std::uint8_t {
    opening,   // waits for a connection; nothing has left this host
    sent,      // at least one byte may have left
    answering, // its answer is being passed on to the caller
    ended,
};

struct attempt {
    attempt_phase phase_ = attempt_phase::opening;
    bool may_have_run_ = false;
};

enum class call_phase : std::uint8_t {
    waiting,   // no answer has begun
    answering, // an upstream's answer is being passed on
    finished,
};

// The state of one call.
struct call {
    call_rules rules_;
    call_phase phase_ = call_phase::waiting;
    std::array<attempt, attempts_max> attempts_{};
    std::uint8_t attempt_count_ = 0;
    std::uint8_t broken_count_ = 0; // attempts that ended without an answer after being sent
    attempt_id winner_ = 0;         // valid while answering
    bool body_replayable_ = true;   // the body so far is still held here
};

// What the caller is told of a call that got no upstream's answer.
enum class outcome : std::uint8_t { not_run, unknown };

std::string_view to_string(outcome value);

enum class action_kind : std::uint8_t {
    open_attempt,   // choose a target and a connection, then report attempt_sent or attempt_ended
    pass_on,        // pass the head of attempt_'s answer on, and its body as it comes
    cancel_attempt, // drop attempt_ and close its connection
    answer,         // answer the caller with status_ and outcome_
    break_caller,   // the answer begun cannot be completed: close the caller's connection
};

struct action {
    action_kind kind_ = action_kind::open_attempt;
    attempt_id attempt_ = 0;
    int status_ = 0;
    outcome outcome_ = outcome::not_run;
};

// The actions of one event, in order.
struct actions {
    std::array<action, attempts_max + 2> items_{};
    std::size_t count_ = 0;

    void add(const action& item) { items_[count_++] = item; }
    [[nodiscard]] const action* begin() const { return items_.data(); }
    [[nodiscard]] const action* end() const { return items_.data() + count_; }
};

// How an attempt ended without an answer that could be passed on.
enum class attempt_failure : std::uint8_t {
    no_target, // no target or connection could be had; nothing left this host
    unsent,    // the connection could not be opened; nothing left this host
    shed,      // the upstream refused with what the settings declare as proof
    broken,    // the connection failed or the answer was malformed, after bytes had left
};

// Whether the call would start another attempt after this one ends so; the caller of these
// functions then asks the retry budget and passes its word as `granted`.
bool wants_retry(const call& state, attempt_id id, attempt_failure failure);

// Whether an answer with this status would rather be replaced by a retry.
bool wants_retry_of_answer(const call& state, attempt_id id, int status);

// Whether a second attempt may be started beside the first, which has not answered yet.
bool wants_hedge(const call& state);

// Starts the call: one attempt.
actions begin(call& state);

// The first byte of an attempt is about to be handed to the kernel.
void attempt_sent(call& state, attempt_id id);

// An attempt ended without an answer.
actions attempt_ended(call& state, attempt_id id, attempt_failure failure, bool granted);

// The head of an attempt's answer is here. `granted`: replace it by a retry.
actions answer_begun(call& state, attempt_id id, bool granted);

// The answer being passed on is complete. Returns nothing to do; the call is finished.
void answer_completed(call& state);

// The hedge timer fired and the budget granted a second attempt.
actions hedge(call& state);

// The deadline passed. An answer being passed on is not cut off.
actions deadline_passed(call& state);

// The caller went away: every attempt is cancelled.
actions caller_left(call& state);

// Whether any attempt may have reached an upstream and run there.
bool may_have_run(const call& state);

} // namespace savoryscale::dispatch
