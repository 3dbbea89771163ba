#pragma once

// One call in progress: carries out the actions that dispatch decides, between the caller's
// connection and the upstream connections of its attempts.

#include "admission/quarantine.hpp"
#include "admission/room.hpp"
#include "admission/send_check.hpp"
#include "base/clock.hpp"
#include "dispatch/call.hpp"
#include "dispatch/idempotency.hpp"
#include "http/attempt_exchange.hpp"
#include "http/event_loop.hpp"
#include "http/head.hpp"
#include "http/head_text.hpp"
#include "http/relay_hosts.hpp"
#include "organisations/allotment_use.hpp"
#include "organisations/key_table.hpp"
#include "routes/table.hpp"
#include "routing/target.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/trace.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::http {

class caller_connection;
class connection_pool;
class http_task;
class target_search;
struct search_claim;
struct search_result;
struct service_state;

// A request body is kept for another attempt up to this size; a larger one is streamed once.
inline constexpr std::size_t replay_bytes_max = 65536;

// The same on routes for uploads: sending a large body again costs the caller far more time than
// the memory costs the host.
inline constexpr std::size_t upload_replay_bytes_max = 524288;

// An answer up to this size is buffered until it is complete, so that a truncated one can be
// replaced by a retry; a longer one is forwarded as it arrives.
inline constexpr std::size_t answer_buffer_max = 131072;

// When more bytes than this are queued towards the caller or the target, reading from the other
// side is paused.
inline constexpr std::size_t queue_high_bytes = 262144;

class proxied_call {
public:
    proxied_call(http_task& owner, caller_connection& caller, request_head head);
    ~proxied_call();
    proxied_call(const proxied_call&) = delete;
    proxied_call& operator=(const proxied_call&) = delete;
    proxied_call(proxied_call&&) = delete;
    proxied_call& operator=(proxied_call&&) = delete;

    // Admits or refuses the call.
    void start();

    // The request body, decoded of any chunking, and its end.
    void on_request_body(std::string_view bytes);
    void on_request_end();

    // The caller's connection closed, or its request turned out malformed.
    void on_caller_gone();

    // The object API's reply for the claim on this call's idempotency key.
    void on_claim_reply(const store::object_reply& reply);

    // Everything queued for the caller has been written to its socket.
    void on_caller_drained();

    // Memory that this call holds, without what is queued for the caller.
    [[nodiscard]] std::size_t held_bytes() const;

    // Whether a target has been looked for.
    [[nodiscard]] bool is_dispatched() const { return dispatched_; }

    // Refuses a request that is not dispatched, since the host is short of room.
    void refuse_for_room();

    // Ends the call if the host would end before it is answered.
    void on_host_stopping();

private:
    friend class attempt_exchange;

    void refuse(local_answer refusal);
    void refuse(const admission::send_verdict& refused);
    void refuse_before_sending(const admission::send_verdict& refused);
    void count_refusal(admission::refusal_cause cause);
    admission::send_verdict identify_caller();
    admission::send_verdict check_caller_again() const;
    void check_allotment();
    void on_allotment_decided(const organisations::use_decision& decided);
    void give_back_allotment();
    void start_allotted();
    std::uint32_t priority() const;
    void refuse_quarantined();
    void reject_oversized_body();
    std::size_t replay_limit();
    void dispatch_when_ready();
    void dispatch_now();
    bool needs_claim() const;
    void begin_claim();
    void apply_claim_action(const dispatch::claim_action& action);
    void release_claim();
    void execute(const dispatch::actions& todo);
    void answer_after_crash_checks(const dispatch::action& decided, time_point latest);
    [[nodiscard]] bool has_unchecked_crash() const;
    void answer(const dispatch::action& decided);
    void open_attempt(dispatch::attempt_id id);
    upstream_connection* acquire_target(attempt_exchange& attempt);
    upstream_connection* acquire_connection(attempt_exchange& attempt,
                                            routing::target_index target);
    std::vector<routing::target_index> tried_targets(dispatch::attempt_id before) const;
    void connect_attempt(attempt_exchange& attempt, upstream_connection* connection);
    std::optional<time_point> objective_time() const;
    admission::room_request room_request() const;
    void note_time_limit();
    search_claim claim_room(const attempt_exchange& attempt);
    duration return_time(const search_result& found) const;
    void begin_search(attempt_exchange& attempt);
    bool may_relay() const;
    bool is_relayed() const;
    std::string_view caller_ip() const;
    void hand_on_again(attempt_exchange& attempt);
    void begin_relay(attempt_exchange& attempt);
    void on_relay_found(attempt_exchange& attempt, const std::optional<relay_hosts::relay>& found);
    upstream_connection* acquire_relay(attempt_exchange& attempt, const relay_hosts::relay& chosen);
    void on_search_done(attempt_exchange& attempt, const search_result& found);
    void forward_answer(attempt_exchange& attempt);
    void log_answer(const attempt_exchange& attempt) const;
    duration time_left() const;
    duration expected_latency(const attempt_exchange* attempt) const;
    bool is_too_late_to_send(const attempt_exchange* attempt) const;
    bool drop_if_too_late(attempt_exchange& attempt);
    void refuse_as_stopping();
    void log_refusal(int status, std::string_view why, std::optional<duration> retry_after) const;
    void send_request(attempt_exchange& attempt);
    void send_body_to(upstream_connection& connection, std::string_view bytes);
    void end_request_on(upstream_connection& connection);
    void cancel_attempt(dispatch::attempt_id id);
    void report_end(attempt_exchange& attempt, routing::attempt_end end, bool finished);
    void report_end_at_target(attempt_exchange& attempt, routing::attempt_end end, bool finished);
    void fail_attempt(attempt_exchange& attempt, dispatch::attempt_failure failure);
    void record_attempt(const attempt_exchange& attempt, bool finished);
    void arm_hedge();
    void on_hedge_due();
    bool take_hedge();
    void on_deadline();
    void check_overdue_answer();
    void note_progress();
    void check_progress();
    void count_end(telemetry::request_end end);
    void finish();

    http_task& http_task_;
    caller_connection& caller_;
    request_head head_;
    std::size_t head_bytes_;                      // of memory
    std::shared_ptr<const routes::table> routes_; // keeps route_ valid during the call
    const routes::route* route_ = nullptr;
    service_state* service_ = nullptr;
    const organisations::organisation* organisation_ = nullptr; // of the caller; null: unknown
    std::optional<organisations::key_digest> key_;              // that the caller sent
    std::optional<duration> caller_time_limit_; // as the caller states it; none: it states none
    duration time_tried_{}; // since the caller's first try, as far as its limit shows
    admission::standing standing_ = admission::standing::ample; // at the last search
    dispatch::call state_;
    std::array<attempt_exchange, dispatch::attempts_max> exchanges_;
    std::optional<dispatch::idempotency_claim> claim_;
    std::uint64_t claim_call_id_ = 0;
    timer_id claim_timer_ = 0;
    telemetry::call_trace trace_;
    std::string customer_;
    std::string request_id_;              // as the caller sent it, for the log
    std::optional<duration> retry_after_; // expected wait for a slot; none: unknown
    std::string body_; // kept part of the request body; starts at its first byte while replayable
    std::uint64_t body_bytes_ = 0;
    admission::request_fingerprints fingerprints_;
    time_point started_{};
    time_point deadline_{};
    time_point progressed_at_{}; // bytes of the answer arrived or were taken by the caller
    time_point progress_due_{};
    timer_id deadline_timer_ = 0;
    timer_id hedge_timer_ = 0;
    timer_id progress_timer_ = 0;
    timer_id answer_timer_ = 0;
    std::vector<settings::endpoint> tried_relays_; // hosts that the request was handed to
    std::uint64_t relay_search_ = 0;               // while a host is looked for
    std::uint64_t allotment_check_ = 0;            // while a granter is asked
    bool allotted_ = false;                        // the allotment, if there is one, has room
    bool counted_as_relayed_ = false;
    bool admitted_ = false;
    bool dispatched_ = false;
    bool request_ended_ = false;
    bool finished_ = false;
    bool deadline_reached_ = false;
    bool waits_for_caller_ = false; // the overdue answer; see dispatch::overdue_answer
    bool limited_ = false;          // the last search ended at the limits of targets
};

} // namespace savoryscale::http
