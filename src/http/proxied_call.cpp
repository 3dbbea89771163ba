#include "http/proxied_call.hpp"

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/head_text.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "http/refusal_answer.hpp"
#include "http/target_search.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>
#include <vector>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// Delay before answering a caller whose request broke a connection, so that a suspicion reaches the
// other hosts before the caller can resend the request through them.
constexpr duration suspicion_propagation_time = 50ms;
constexpr duration crash_check_interval = 5ms;

// Retry-After of a suspect while another attempt of it is in progress.
constexpr duration suspect_retry_after = 200ms;

// Length of the body prefix that goes into the fingerprint by which a crashing request is
// recognised.
constexpr std::size_t fingerprint_bytes = 1024;

// Retry-After while the host has no desired state yet.
constexpr duration startup_retry_after = 200ms;

// Retry-After while the memory for bodies is used up: another host has room now.
constexpr duration crowded_retry_after = 50ms;

// Longer time limits of callers count as this.
constexpr std::int64_t time_limit_max_ms = 86'400'000;

constexpr int status_not_found = 404;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;
constexpr int status_version = 505;

bool is_among(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The time limit that the caller states; none without a valid one.
std::optional<duration> time_limit_of(const request_head& head, std::string_view field)
{
    const std::string_view text = find_field(head, field);
    std::int64_t requested_ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), requested_ms);
    if (text.empty() || parsed.ec != std::errc{} || requested_ms <= 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{std::min(requested_ms, time_limit_max_ms)};
}

} // namespace

proxied_call::proxied_call(http_task& owner, caller_connection& caller, request_head head)
    : http_task_{owner},
      caller_{caller},
      head_{std::move(head)},
      head_bytes_{http::held_bytes(head_)}
{
    for (std::size_t i = 0; i < exchanges_.size(); ++i) {
        exchanges_[i].call_ = this;
        exchanges_[i].id_ = static_cast<dispatch::attempt_id>(i);
    }
}

proxied_call::~proxied_call()
{
    finish();
    for (attempt_exchange& exchange : exchanges_) {
        http_task_.loop().cancel(exchange.open_timer_);
        if (exchange.connection_ != nullptr) {
            exchange.connection_->abandon();
        }
    }
}

void proxied_call::start()
{
    const time_point now = http_task_.loop().now();
    started_ = now;
    trace_ = telemetry::begin_trace(find_field(head_, "traceparent"),
                                    http_task_.config().tracing_.sample_ratio_, http_task_.random(),
                                    now, telemetry::wall_clock_ns());
    customer_ = find_field(head_, http_task_.config().customer_header_);
    request_id_ = find_field(head_, http_task_.config().header_names_.request_id_);
    routes_ = http_task_.routes();
    if (head_.version_ != 11) {
        refuse({status_version, "not-run", "use HTTP/1.1", std::nullopt, false});
        return;
    }
    if (!routes_) {
        refuse({status_unavailable, "not-run",
                "no desired state is known on this host yet; use another",
                duration{startup_retry_after}, false});
        return;
    }
    route_ = routes::find_route(*routes_, find_field(head_, "Host"), head_.target_);
    if (route_ == nullptr) {
        refuse(
            {status_not_found, "not-run", "no route has this host and path", std::nullopt, false});
        return;
    }
    if (const auto checked = identify_caller(); !checked.is_passed()) {
        refuse(checked);
        return;
    }
    check_allotment();
}

// The part of start() that follows once the request is within its organisation's allotment.
void proxied_call::start_allotted()
{
    const time_point now = http_task_.loop().now();
    const bool has_body = head_.chunked_ || head_.content_length_.value_or(0) > 0;
    if (has_body && !admission::accepts_body(http_task_.measured_body_memory())) {
        refuse({status_unavailable, "not-run",
                "too many bodies are in progress on this host; use another",
                duration{crowded_retry_after}, false});
        return;
    }
    if (!admission::accepts_head(http_task_.body_memory(), head_bytes_)) {
        refuse_for_room();
        return;
    }
    if (head_.content_length_.value_or(0) > http_task_.limits().max_body_bytes_) {
        refuse({status_too_large, "not-run", "the body is over the limit", std::nullopt, false});
        return;
    }
    if (is_relayed() && !(counted_as_relayed_ = http_task_.begin_relayed_call())) {
        refuse({status_unavailable, "not-run",
                "too many requests of other hosts are in progress on this one",
                duration{crowded_retry_after}, false});
        return;
    }
    service_ = &http_task_.service_of(*route_);
    if (is_too_late_to_send(nullptr)) {
        refuse_as_stopping();
        return;
    }
    const auto verdict = http_task_.admit(customer_, *service_);
    if (trace_.sampled_) {
        telemetry::span admission_span = telemetry::child_span(
            trace_, "admission", telemetry::span_kind::internal,
            telemetry::make_span_id(http_task_.random()), now, http_task_.loop().now());
        admission_span.failed_ = !verdict.admitted();
        http_task_.record(std::move(admission_span));
    }
    if (!verdict.admitted()) {
        refuse(refusal_answer(verdict));
        return;
    }
    admitted_ = true;

    const settings::service& config = service_->config_;
    using routes::repeat_rule;
    state_.rules_.repeatable_ = route_->repeat_ == repeat_rule::always ||
                                (route_->repeat_ == repeat_rule::by_method &&
                                 is_among(config.repeatable_methods_, head_.method_));
    state_.rules_.attempts_max_ = static_cast<std::uint8_t>(
        std::clamp<std::size_t>(route_->attempts_max_, 1, dispatch::attempts_max));
    state_.rules_.may_retry_ = !has_field(head_, no_retry_field);
    state_.rules_.may_hedge_ = config.hedge_ && !has_body;
    const duration longest =
        route_->timeout_ > duration::zero() ? route_->timeout_ : duration{config.deadline_};
    caller_time_limit_ = time_limit_of(head_, http_task_.config().header_names_.deadline_);
    note_time_limit();
    deadline_ = now + std::min(longest, caller_time_limit_.value_or(longest));
    telemetry::decided("request_routed", request_id_,
                       {{"route", route_->name_},
                        {"service", config.name_},
                        {"organisation", organisation_ != nullptr ? organisation_->name_ : ""},
                        {"version", std::to_string(routes_->state_.version_)},
                        {"caller", std::string{caller_ip()}},
                        {"from_host", is_relayed() ? std::string{caller_.ip()} : ""},
                        {"left_ms", log_ms(deadline_ - now)}});
    deadline_timer_ = http_task_.loop().at(deadline_, [this] { on_deadline(); });
    if (equal_ignoring_case(find_field(head_, "Expect"), "100-continue")) {
        caller_.send_continue();
    }
}

void proxied_call::on_request_body(std::string_view bytes)
{
    if (finished_) {
        return;
    }
    body_bytes_ += bytes.size();
    if (body_bytes_ > http_task_.limits().max_body_bytes_) {
        reject_oversized_body();
        return;
    }
    attempt_exchange* receiver = nullptr;
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.in_flight_ && exchange.connected_) {
            receiver = &exchange;
        }
    }
    note_progress();
    if (receiver != nullptr) {
        send_body_to(*receiver->connection_, bytes);
        if (receiver->connection_->queued() > http_task_.body_limit(queue_high_bytes)) {
            caller_.pause_reading();
        }
    }
    if (state_.body_replayable_) {
        body_.append(bytes);
        if (body_.size() > replay_limit()) {
            if (receiver != nullptr) {
                state_.body_replayable_ = false;
                body_.clear();
                body_.shrink_to_fit();
            }
            else {
                caller_.pause_reading();
            }
        }
    }
    dispatch_when_ready();
}

// Bytes of the request body that may be kept for another attempt.
std::size_t proxied_call::replay_limit()
{
    return http_task_.body_limit(route_->has_large_bodies_ ? upload_replay_bytes_max
                                                           : replay_bytes_max);
}

std::size_t proxied_call::held_bytes() const
{
    std::size_t held = head_bytes_ + body_.capacity();
    for (const attempt_exchange& exchange : exchanges_) {
        held += exchange.buffered_body_.capacity();
        if (exchange.connection_ != nullptr) {
            held += exchange.connection_->held_bytes();
        }
    }
    return held;
}

void proxied_call::refuse_for_room()
{
    refuse({status_unavailable, "not-run", "this host is short of memory; use another",
            duration{crowded_retry_after}, false});
}

// A body without a length has turned out too large; a target may have received a part of it.
void proxied_call::reject_oversized_body()
{
    const bool answer_begun = state_.phase_ == dispatch::call_phase::answering;
    const bool may_have_run = dispatch::may_have_run(state_);
    execute(dispatch::on_caller_left(state_));
    if (answer_begun) {
        finish();
        count_end(telemetry::request_end::broken_off);
        caller_.close_abruptly();
        return;
    }
    refuse({status_too_large, may_have_run ? "unknown" : "not-run", "the body is over the limit",
            std::nullopt, false});
}

void proxied_call::on_request_end()
{
    if (finished_) {
        return;
    }
    request_ended_ = true;
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.in_flight_ && exchange.connected_) {
            end_request_on(*exchange.connection_);
        }
    }
    dispatch_when_ready();
}

// Starts the call once enough of the body has arrived for the fingerprint and, if the call needs a
// claim, for the claim's digest.
void proxied_call::dispatch_when_ready()
{
    if (!allotted_ || dispatched_ || finished_) {
        return;
    }
    const std::size_t enough = needs_claim() ? replay_bytes_max : fingerprint_bytes;
    if (!request_ended_ && body_bytes_ < enough) {
        return;
    }
    dispatched_ = true;
    const std::string_view prefix = std::string_view{body_}.substr(0, fingerprint_bytes);
    const std::string_view caller = customer_.empty() ? caller_ip() : customer_;
    const std::string_view organisation =
        organisation_ != nullptr ? std::string_view{organisation_->name_} : customer_;
    admission::request_identity identity{head_.method_, head_.target_, caller,
                                         find_field(head_, idempotency_key_field),
                                         XXH3_64bits(prefix.data(), prefix.size())};
    fingerprints_.caller_ = admission::fingerprint_of(identity);
    identity.customer_ = organisation;
    fingerprints_.content_ = admission::content_fingerprint_of(identity);
    if (http_task_.is_quarantined(fingerprints_)) {
        refuse_quarantined();
        return;
    }
    if (needs_claim()) {
        begin_claim();
    }
    else {
        dispatch_now();
    }
}

void proxied_call::refuse_quarantined()
{
    http_task_.metrics().quarantined_requests_.Increment();
    telemetry::decided("request_quarantined", request_id_,
                       {{"fingerprint", admission::name_of(fingerprints_.caller_)},
                        {"content", admission::name_of(fingerprints_.content_)}});
    const duration left = http_task_.refusal_left(fingerprints_);
    refuse({status_unavailable, "not-run", "targets crashed while running this request; change it",
            std::max(left, suspect_retry_after), false});
}

void proxied_call::dispatch_now()
{
    execute(dispatch::begin(state_));
}

void proxied_call::execute(const dispatch::actions& todo)
{
    for (const dispatch::action& item : todo) {
        switch (item.kind_) {
        case dispatch::action_kind::open_attempt:
            open_attempt(item.attempt_);
            break;
        case dispatch::action_kind::cancel_attempt:
            cancel_attempt(item.attempt_);
            break;
        case dispatch::action_kind::forward_answer:
            note_progress();
            break;
        case dispatch::action_kind::answer:
            answer_after_crash_checks(item, http_task_.loop().now() + suspicion_propagation_time);
            return;
        case dispatch::action_kind::close_caller:
            telemetry::decided(
                "request_broken_off", request_id_,
                {{"why", deadline_reached_
                             ? "the deadline passed after part of the answer was forwarded"
                             : "the upstream answer ended early after part of it was forwarded"},
                 {"taken_ms", log_ms(http_task_.loop().now() - started_)}});
            finish();
            count_end(telemetry::request_end::broken_off);
            caller_.close_abruptly();
            return;
        }
    }
}

// A caller whose request may have crashed a target is answered once the other hosts can know of it.
void proxied_call::answer_after_crash_checks(const dispatch::action& decided, time_point latest)
{
    const time_point now = http_task_.loop().now();
    const bool waits =
        state_.broken_count_ > 0 && http_task_.has_peers() && now < latest &&
        (has_unchecked_crash() ||
         admission::is_suspect(http_task_.request_quarantine(), fingerprints_.caller_, now));
    if (!waits) {
        answer(decided);
        return;
    }
    answer_timer_ = http_task_.loop().after(crash_check_interval, [this, decided, latest] {
        answer_after_crash_checks(decided, latest);
    });
}

bool proxied_call::has_unchecked_crash() const
{
    return std::any_of(exchanges_.begin(), exchanges_.end(), [this](const attempt_exchange& one) {
        return one.pool_ != nullptr && !one.relay_ &&
               !http_task_.is_crash_checked(*service_, one.target_, fingerprints_);
    });
}

// Answers the caller with the outcome that dispatch decided.
void proxied_call::answer(const dispatch::action& decided)
{
    const bool not_run = decided.outcome_ == dispatch::outcome::not_run;
    const auto retry_after =
        not_run ? std::optional<duration>{http_task_.retry_after(retry_after_)} : std::nullopt;
    const bool limited = not_run && limited_;
    log_refusal(decided.status_, limited ? "limited" : dispatch::to_string(decided.outcome_),
                retry_after);
    if (limited) {
        http_task_.metrics().limited_requests_.Increment();
    }
    finish();
    count_end(not_run ? telemetry::request_end::not_run : telemetry::request_end::unknown);
    caller_.answer_locally({decided.status_, dispatch::to_string(decided.outcome_),
                            limited ? "the request was not run: all targets have reached the limit "
                                      "that they name; send it again later"
                            : not_run ? "the request was not run; it is safe to send it again"
                                      : "the request may have run; find out before repeating it",
                            retry_after, false,
                            is_relayed() && not_run && service_->reach_.lost_at_});
}

// Records the spans of an ended attempt: the whole attempt, the choice of its target until the
// request was sent, and the forwarding of its answer.
void proxied_call::record_attempt(const attempt_exchange& attempt, bool finished)
{
    if (!trace_.sampled_) {
        return;
    }
    const time_point now = http_task_.loop().now();
    using telemetry::span_kind;
    telemetry::span ended_span = telemetry::child_span(trace_, "attempt", span_kind::client,
                                                       attempt.span_, attempt.started_, now);
    ended_span.failed_ = !finished;
    ended_span.attributes_.emplace_back("server.address", attempt.target_name_);
    http_task_.record(std::move(ended_span));
    http_task_.record(telemetry::child_span(trace_, "choice", span_kind::internal,
                                            telemetry::make_span_id(http_task_.random()),
                                            attempt.started_, attempt.sent_));
    if (attempt.status_ != 0) {
        http_task_.record(telemetry::child_span(trace_, "answer", span_kind::internal,
                                                telemetry::make_span_id(http_task_.random()),
                                                attempt.answered_, now));
    }
}

void proxied_call::arm_hedge()
{
    if (hedge_timer_ != 0 || !dispatch::wants_hedge(state_)) {
        return;
    }
    const time_point now = http_task_.loop().now();
    const bool is_probed_policy = service_->view_.policy_ == routing::policy::probed;
    const auto delay =
        is_probed_policy
            ? routing::hedge_delay_for_objective(service_->view_, route_->latency_objective_)
            : routing::hedge_delay(service_->view_, now);
    if (delay) {
        hedge_timer_ = http_task_.loop().at(now + *delay, [this] { on_hedge_due(); });
    }
}

void proxied_call::on_hedge_due()
{
    hedge_timer_ = 0;
    if (!dispatch::wants_hedge(state_)) {
        return;
    }
    // With the probed policy, a free target is searched for first and the budget is charged only
    // when one is found.
    const bool is_probed_policy = service_->view_.policy_ == routing::policy::probed;
    if (is_probed_policy || take_hedge()) {
        exchanges_[state_.attempt_count_].is_hedge_ = true;
        execute(dispatch::hedge(state_));
    }
}

bool proxied_call::take_hedge()
{
    const bool taken = routing::take_hedge(service_->view_, http_task_.loop().now());
    if (taken) {
        http_task_.metrics().hedges_.Increment();
    }
    return taken;
}

void proxied_call::on_deadline()
{
    deadline_timer_ = 0;
    deadline_reached_ = true;
    if (!dispatched_) {
        refuse({status_unavailable, "not-run",
                "the request did not arrive whole within its deadline", std::nullopt, false});
        return;
    }
    if (state_.phase_ == dispatch::call_phase::answering) {
        check_overdue_answer();
        return;
    }
    execute(dispatch::on_deadline_passed(state_));
}

void proxied_call::on_caller_gone()
{
    if (!finished_) {
        execute(dispatch::on_caller_left(state_));
        telemetry::decided("request_abandoned", request_id_,
                           {{"why", "the caller disconnected or sent a malformed request"},
                            {"taken_ms", log_ms(http_task_.loop().now() - started_)},
                            {"attempts", std::to_string(state_.attempt_count_)}});
        finish();
        count_end(telemetry::request_end::caller_left);
    }
}

void proxied_call::on_caller_drained()
{
    note_progress();
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.in_flight_ && exchange.connected_) {
            exchange.connection_->resume_reading();
        }
    }
}

// Restarts the body's idle timeout. While an answer is forwarded, some bytes must move within it.
void proxied_call::note_progress()
{
    if (state_.phase_ != dispatch::call_phase::answering) {
        return;
    }
    progressed_at_ = http_task_.loop().now();
    progress_due_ = progressed_at_ + service_->config_.body_idle_timeout_;
    if (progress_timer_ == 0) {
        progress_timer_ = http_task_.loop().at(progress_due_, [this] { check_progress(); });
    }
}

void proxied_call::check_progress()
{
    progress_timer_ = 0;
    if (http_task_.loop().now() < progress_due_) {
        progress_timer_ = http_task_.loop().at(progress_due_, [this] { check_progress(); });
        return;
    }
    execute(dispatch::on_caller_left(state_));
    finish();
    count_end(telemetry::request_end::broken_off);
    caller_.close_abruptly();
}

void proxied_call::refuse(local_answer refusal)
{
    log_refusal(refusal.status_, refusal.text_, refusal.retry_after_);
    finish();
    count_end(refusal.outcome_ == "not-run" ? telemetry::request_end::not_run
                                            : telemetry::request_end::unknown);
    caller_.answer_locally(std::move(refusal));
    if (!dispatched_) {
        // The call is destroyed only after all events that are due; by then many may be refused.
        head_.fields_ = std::vector<header_field>{}; // gives its room back, which = {} does not
        head_bytes_ = 0;
    }
}

void proxied_call::count_end(telemetry::request_end end)
{
    const duration taken = http_task_.loop().now() - started_;
    if (end == telemetry::request_end::not_run) {
        give_back_allotment();
    }
    http_task_.metrics().requests_[end].Increment();
    http_task_.metrics().request_duration_.Observe(std::chrono::duration<double>(taken).count());
}

void proxied_call::log_refusal(int status, std::string_view why,
                               std::optional<duration> retry_after) const
{
    telemetry::decided("request_refused", request_id_,
                       {{"status", std::to_string(status)},
                        {"why", std::string{why}},
                        {"retry_after_ms", retry_after ? log_ms(*retry_after) : ""},
                        {"taken_ms", log_ms(http_task_.loop().now() - started_)},
                        {"attempts", std::to_string(state_.attempt_count_)}});
}

// Releases timers, the claim and the admission slot, and records the call's span. Idempotent.
void proxied_call::finish()
{
    if (std::exchange(finished_, true)) {
        return;
    }
    http_task_.loop().cancel(deadline_timer_);
    http_task_.loop().cancel(hedge_timer_);
    http_task_.loop().cancel(progress_timer_);
    http_task_.loop().cancel(answer_timer_);
    http_task_.allotments().cancel(allotment_check_);
    http_task_.relays().cancel(relay_search_);
    if (counted_as_relayed_) {
        http_task_.end_relayed_call();
    }
    release_claim();
    if (admitted_) {
        http_task_.release(customer_, *service_);
    }
    if (trace_.sampled_) {
        telemetry::span ended_span = telemetry::root_span(trace_, "call", http_task_.loop().now());
        ended_span.attributes_.emplace_back("http.request.method", head_.method_);
        http_task_.record(std::move(ended_span));
    }
}

} // namespace savoryscale::http
