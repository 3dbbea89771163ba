#pragma once

// The state machine of one call: attempts, retry, hedge, deadline, outcome. It does no I/O: each
// event returns the actions that the HTTP task executes. Time enters only through the deadline and
// hedge events, which the task's timers raise.
//
// Two invariants hold. A call that may not be repeated has at most one attempt that may have
// reached an upstream. `not_run` is reported only when every attempt is proved not to have run.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::dispatch {

// Maximum number of attempts of one call, including hedges.
inline constexpr std::size_t attempts_max = 3;

// Identifies an attempt of one call: 0 to attempts_max - 1.
using attempt_id = std::uint8_t;

// What is allowed for this call, fixed when it is admitted.
struct call_rules {
    bool repeatable_ = false;                  // by its method and the service's settings
    bool may_retry_ = true;                    // false: an earlier hop does the retries
    bool may_hedge_ = false;                   // repeatable and without a body
    std::uint8_t attempts_max_ = attempts_max; // 1 to attempts_max
};

enum class attempt_phase : std::uint8_t {
    opening,   // waiting for a connection; no byte has left this host
    sent,      // at least one byte may have left
    answering, // its answer is being forwarded to the caller
    ended,
};

struct attempt {
    attempt_phase phase_ = attempt_phase::opening;
    bool may_have_run_ = false;
};

enum class call_phase : std::uint8_t {
    waiting,   // no answer has begun
    answering, // an upstream's answer is being forwarded
    finished,
};

// The state of one call.
struct call {
    call_rules rules_;
    call_phase phase_ = call_phase::waiting;
    std::array<attempt, attempts_max> attempts_{};
    std::uint8_t attempt_count_ = 0;
    std::uint8_t broken_count_ = 0; // attempts that were sent and ended without an answer
    attempt_id winner_ = 0;         // whose answer is forwarded; valid while answering
    bool body_replayable_ = true;   // the body received so far is still buffered
};

// What the caller learns of a call that got no answer from an upstream.
enum class outcome : std::uint8_t { not_run, unknown };

std::string_view to_string(outcome value);

enum class action_kind : std::uint8_t {
    open_attempt, // choose a target and a connection, then call on_attempt_sent or on_attempt_ended
    forward_answer, // forward the head of attempt_'s answer, and its body as it arrives
    cancel_attempt, // abandon attempt_ and close its connection
    answer,         // answer the caller with status_ and outcome_
    close_caller,   // the started answer cannot be completed: close the caller's connection
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

// How an attempt ended without an answer that can be forwarded.
enum class attempt_failure : std::uint8_t {
    no_target, // no target or connection was available; no byte left this host
    unsent,    // the connection could not be opened; no byte left this host
    shed,      // the upstream refused in a way that the settings declare as proof of not-run
    broken,    // the connection failed or the answer was malformed, after bytes were sent
};

// Whether the call would start another attempt after this one ends with `failure`. The caller of
// this function then asks the retry budget and passes the result as `granted`.
bool wants_retry(const call& state, attempt_id id, attempt_failure failure);

// Whether an answer with this status should be replaced by a retry.
bool wants_retry_of_answer(const call& state, attempt_id id, int status);

// Whether a hedge may start: there is one attempt, which has not answered yet.
bool wants_hedge(const call& state);

// Starts the call with its first attempt.
actions begin(call& state);

// The first byte of an attempt is about to be handed to the kernel.
void on_attempt_sent(call& state, attempt_id id);

// The host to which the attempt was handed has proved that it did not run it. The attempt is open
// again, for another host.
void on_attempt_returned(call& state, attempt_id id);

// An attempt ended without an answer.
actions on_attempt_ended(call& state, attempt_id id, attempt_failure failure, bool granted);

// The head of an attempt's answer was received. `granted`: replace the answer by a retry.
actions on_answer_started(call& state, attempt_id id, bool granted);

// The answer being forwarded is complete; the call is finished and no action remains.
void on_answer_completed(call& state);

// The hedge timer fired and the budget granted the hedge.
actions hedge(call& state);

// The deadline passed before an answer had begun. An answer that is being forwarded is not
// interrupted; see on_answer_overdue.
actions on_deadline_passed(call& state);

// An answer that is being forwarded at the call's deadline or later.
struct overdue_answer {
    duration late_{};  // time since the deadline
    duration quiet_{}; // time since bytes of it arrived or were taken by the caller
    // Bytes of it wait for the caller to read, so that the quiet is not the target's.
    bool waits_for_caller_ = false;
};

// How long it may go on until this is asked again. None: it is to be ended now.
std::optional<duration> overdue_answer_may_go_on(const overdue_answer&);

// The answer that is being forwarded may not go on. What the caller has is incomplete, so that its
// connection is closed.
actions on_answer_overdue(call& state);

// The caller disconnected: every attempt is cancelled.
actions on_caller_left(call& state);

// Whether any attempt may have reached an upstream and run there.
bool may_have_run(const call& state);

} // namespace savoryscale::dispatch
