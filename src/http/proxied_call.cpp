#include "http/proxied_call.hpp"

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/front.hpp"
#include "http/head_text.hpp"
#include "http/refusal_answer.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"

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

// A connection that does not open within this time counts as refused.
constexpr duration open_timeout = 300ms;

// A connection that shows nothing of an answer for this long may have gone silent for good.
constexpr duration silent_after = 250ms;

// A caller whose request broke a connection is answered after this, so that a suspicion has reached
// the other hosts before the caller can send the request through them.
constexpr duration suspicion_hold = 50ms;

// The first bytes of a body tell requests apart when one is suspected of crashing targets.
constexpr std::size_t fingerprint_bytes = 1024;

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_version = 505;
constexpr int status_server_error = 500; // and above

bool is_among(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The deadline the caller asks for, never beyond the service's own.
duration deadline_of(const request_head& head, const settings::service& service)
{
    const std::string_view text = find_field(head, deadline_field);
    std::int64_t asked_ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), asked_ms);
    if (text.empty() || parsed.ec != std::errc{} || asked_ms <= 0) {
        return service.deadline_;
    }
    return std::min<duration>(service.deadline_, std::chrono::milliseconds{asked_ms});
}

} // namespace

proxied_call::proxied_call(front& owner, caller_connection& caller, const request_head& head)
    : front_{owner}, caller_{caller}, head_{head}
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
        front_.loop().cancel(exchange.open_timer_);
        if (exchange.connection_ != nullptr) {
            exchange.connection_->abandon();
        }
    }
}

void proxied_call::start()
{
    const time_point now = front_.loop().now();
    started_ = now;
    trace_ = telemetry::begin_trace(find_field(head_, "traceparent"),
                                    front_.config().tracing_.sample_ratio_, front_.random(), now,
                                    telemetry::wall_clock_ns());
    customer_ = find_field(head_, front_.config().customer_header_);
    service_ = front_.find_service(head_.target_);
    if (head_.version_ != 11) {
        refuse({status_version, "not-run", "use HTTP/1.1", std::nullopt, false});
        return;
    }
    if (service_ == nullptr) {
        refuse({status_not_found, "not-run", "no service has this path", std::nullopt, false});
        return;
    }
    const auto verdict = front_.admit(customer_, *service_);
    if (trace_.sampled_) {
        telemetry::span admission_span = telemetry::child_span(
            trace_, "admission", telemetry::span_kind::internal,
            telemetry::make_span_id(front_.random()), now, front_.loop().now());
        admission_span.failed_ = !verdict.admitted();
        front_.record(std::move(admission_span));
    }
    if (!verdict.admitted()) {
        refuse(refusal_answer(verdict));
        return;
    }
    admitted_ = true;

    const settings::service& config = *service_->config_;
    const bool has_body = head_.chunked_ || head_.content_length_.value_or(0) > 0;
    state_.rules_.repeatable_ = is_among(config.repeatable_methods_, head_.method_);
    state_.rules_.may_retry_ = !has_field(head_, no_retry_field);
    state_.rules_.may_hedge_ = config.hedge_ && !has_body;
    deadline_ = now + deadline_of(head_, config);
    deadline_timer_ = front_.loop().at(deadline_, [this] { on_deadline(); });
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
    attempt_exchange* receiver = nullptr;
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.live_ && exchange.ready_) {
            receiver = &exchange;
        }
    }
    note_progress();
    if (receiver != nullptr) {
        send_body_to(*receiver->connection_, bytes);
        if (receiver->connection_->queued() > queue_high_bytes) {
            caller_.pause_reading();
        }
    }
    if (state_.body_replayable_) {
        body_.append(bytes);
        if (body_.size() > replay_bytes_max) {
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

void proxied_call::on_request_end()
{
    if (finished_) {
        return;
    }
    request_ended_ = true;
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.live_ && exchange.ready_) {
            end_request_on(*exchange.connection_);
        }
    }
    dispatch_when_ready();
}

// Starts the call once enough of the body is here to tell the request apart.
void proxied_call::dispatch_when_ready()
{
    const std::size_t enough = needs_claim() ? replay_bytes_max : fingerprint_bytes;
    if (dispatched_ || finished_ || (!request_ended_ && body_bytes_ < enough)) {
        return;
    }
    dispatched_ = true;
    const std::string_view prefix = std::string_view{body_}.substr(0, fingerprint_bytes);
    fingerprint_ = admission::fingerprint_of({head_.method_, head_.target_, customer_,
                                              find_field(head_, idempotency_key_field),
                                              XXH3_64bits(prefix.data(), prefix.size())});
    if (admission::refused(front_.quarantined(), fingerprint_, front_.loop().now())) {
        refuse({status_unavailable, "not-run",
                "targets crashed while running this request; change it", std::nullopt, false});
        return;
    }
    if (needs_claim()) {
        begin_claim();
    }
    else {
        dispatch_now();
    }
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
        case dispatch::action_kind::pass_on:
            note_progress();
            break;
        case dispatch::action_kind::answer:
            if (state_.broken_count_ > 0) {
                answer_timer_ = front_.loop().after(suspicion_hold, [this, item] { answer(item); });
            }
            else {
                answer(item);
            }
            return;
        case dispatch::action_kind::break_caller:
            finish();
            count_end(telemetry::request_end::broken_off);
            caller_.break_off();
            return;
        }
    }
}

// Tells the caller what dispatch decided.
void proxied_call::answer(const dispatch::action& decided)
{
    const bool not_run = decided.outcome_ == dispatch::outcome::not_run;
    finish();
    count_end(not_run ? telemetry::request_end::not_run : telemetry::request_end::unknown);
    caller_.answer_locally({decided.status_, dispatch::to_string(decided.outcome_),
                            not_run ? "the request was not run; it is safe to send it again"
                                    : "the request may have run; find out before repeating it",
                            not_run ? std::optional<duration>{front_.retry_after()} : std::nullopt,
                            false});
}

void proxied_call::open_attempt(dispatch::attempt_id id)
{
    attempt_exchange& attempt = exchanges_[id];
    upstream_connection* connection = acquire_target(attempt);
    if (connection == nullptr) {
        execute(dispatch::attempt_ended(state_, id, dispatch::attempt_failure::no_target, false));
        return;
    }
    if (!attempt.ready_) {
        attempt.connection_ = connection;
        attempt.open_timer_ = front_.loop().after(open_timeout, [this, &attempt] {
            attempt.open_timer_ = 0;
            std::exchange(attempt.connection_, nullptr)->abandon();
            front_.target_refused(*service_, attempt.target_);
            fail_attempt(attempt, dispatch::attempt_failure::unsent);
        });
    }
}

// Chooses a target that has a connection to give. Targets tried before are left out while others
// remain; a hedge never goes to the same target again.
upstream_connection* proxied_call::acquire_target(attempt_exchange& attempt)
{
    const time_point now = front_.loop().now();
    std::vector<routing::target_index> exclude;
    for (std::size_t i = 0; i < attempt.id_; ++i) {
        exclude.push_back(exchanges_[i].target_);
    }
    while (const auto target = routing::choose(service_->view_, exclude, now, front_.random())) {
        connection_pool& pool = front_.pool_of(*service_, *target);
        const std::string name = front_.target_name(*service_, *target);
        if (!pool.has_room() ||
            admission::runs_other_suspect(front_.quarantined(), fingerprint_, name, now)) {
            exclude.push_back(*target);
            continue;
        }
        attempt.live_ = true;
        attempt.ready_ = false;
        attempt.target_ = *target;
        attempt.pool_ = &pool;
        attempt.target_name_ = name;
        attempt.started_ = now;
        attempt.sent_ = now;
        attempt.request_id_ = front_.next_request_id();
        attempt.span_ = telemetry::make_span_id(front_.random());
        routing::attempt_started(service_->view_, *target, now);
        upstream_connection* connection = pool.acquire(&attempt, !state_.rules_.repeatable_);
        if (connection != nullptr) {
            pool.keep_one_warm();
            return connection;
        }
        report_end(attempt, routing::attempt_end::abandoned, false);
        exclude.push_back(*target);
    }
    return nullptr;
}

void proxied_call::send_request(attempt_exchange& attempt)
{
    const time_point now = front_.loop().now();
    front_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    attempt.sent_ = now;
    dispatch::attempt_sent(state_, attempt.id_);
    admission::started(front_.quarantined(), fingerprint_, attempt.target_name_, now);

    forwarded_fields added;
    added.traceparent_ = telemetry::outgoing_traceparent(trace_, attempt.span_);
    added.request_id_ = attempt.request_id_;
    added.remaining_ = deadline_ - now;
    added.inner_retries_ = false;
    upstream_connection& connection = *attempt.connection_;
    connection.send_head(upstream_request_text(head_, added), head_.method_ == "HEAD");
    if (!body_.empty()) {
        send_body_to(connection, body_);
        if (body_.size() > replay_bytes_max) {
            state_.body_replayable_ = false;
            body_.clear();
            caller_.resume_reading();
        }
    }
    if (request_ended_) {
        end_request_on(connection);
    }
    arm_hedge();
}

void proxied_call::send_body_to(upstream_connection& connection, std::string_view bytes)
{
    connection.send_body(head_.chunked_ ? chunk_text(bytes) : std::string{bytes});
}

void proxied_call::end_request_on(upstream_connection& connection)
{
    if (head_.chunked_) {
        connection.send_body(chunk_text({}));
    }
    connection.request_ended();
}

void proxied_call::cancel_attempt(dispatch::attempt_id id)
{
    attempt_exchange& attempt = exchanges_[id];
    front_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    if (!attempt.live_) {
        return;
    }
    const bool unanswered = attempt.status_ == 0 && attempt.ready_;
    if (unanswered && front_.loop().now() - attempt.sent_ >= silent_after) {
        attempt.pool_->distrust_before(attempt.sent_);
    }
    std::exchange(attempt.connection_, nullptr)->abandon();
    const bool failed_answer = attempt.status_ >= status_server_error;
    report_end(attempt,
               failed_answer       ? routing::attempt_end::failed
               : deadline_reached_ ? routing::attempt_end::timeout
                                   : routing::attempt_end::abandoned,
               false);
}

// Tells routing and quarantine that the attempt is over. `finished`: with a complete answer.
void proxied_call::report_end(attempt_exchange& attempt, routing::attempt_end end, bool finished)
{
    if (!std::exchange(attempt.live_, false)) {
        return;
    }
    const time_point now = front_.loop().now();
    if (finished && attempt.status_ >= status_server_error) {
        end = routing::attempt_end::failed;
    }
    routing::attempt_ended(service_->view_, {attempt.target_, end, attempt.latency_, attempt.load_},
                           now);
    if (end == routing::attempt_end::broken) {
        front_.request_broke(*service_, attempt.target_, fingerprint_);
    }
    else if (attempt.ready_) {
        front_.request_ended(fingerprint_, attempt.target_name_, finished);
    }
    front_.metrics().attempts_[end].Increment();
    record_attempt(attempt, finished);
}

void proxied_call::fail_attempt(attempt_exchange& attempt, dispatch::attempt_failure failure)
{
    front_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    attempt.connection_ = nullptr;
    report_end(attempt,
               failure == dispatch::attempt_failure::shed     ? routing::attempt_end::shed
               : failure == dispatch::attempt_failure::unsent ? routing::attempt_end::crashed
                                                              : routing::attempt_end::broken,
               false);
    const time_point now = front_.loop().now();
    const bool suspect = admission::refused(front_.quarantined(), fingerprint_, now);
    // What never left this host cost no upstream anything, and needs no budget.
    const bool free = failure == dispatch::attempt_failure::unsent;
    const bool granted = !suspect && now < deadline_ &&
                         dispatch::wants_retry(state_, attempt.id_, failure) &&
                         (free || routing::take_retry(service_->view_, now));
    if (granted) {
        front_.metrics().retries_.Increment();
    }
    execute(dispatch::attempt_ended(state_, attempt.id_, failure, granted));
}

// Spans of an attempt that is over: the attempt from its choice, and the passing on of its answer.
void proxied_call::record_attempt(const attempt_exchange& attempt, bool finished)
{
    if (!trace_.sampled_) {
        return;
    }
    const time_point now = front_.loop().now();
    using telemetry::span_kind;
    telemetry::span whole = telemetry::child_span(trace_, "attempt", span_kind::client,
                                                  attempt.span_, attempt.started_, now);
    whole.failed_ = !finished;
    whole.attributes_.emplace_back("server.address", attempt.target_name_);
    front_.record(std::move(whole));
    front_.record(telemetry::child_span(trace_, "choice", span_kind::internal,
                                        telemetry::make_span_id(front_.random()), attempt.started_,
                                        attempt.sent_));
    if (attempt.status_ != 0) {
        front_.record(telemetry::child_span(trace_, "answer", span_kind::internal,
                                            telemetry::make_span_id(front_.random()),
                                            attempt.answered_, now));
    }
}

void proxied_call::arm_hedge()
{
    if (hedge_timer_ != 0 || !dispatch::wants_hedge(state_)) {
        return;
    }
    const time_point now = front_.loop().now();
    if (const auto delay = routing::hedge_after(service_->view_, now)) {
        hedge_timer_ = front_.loop().at(now + *delay, [this] { on_hedge_due(); });
    }
}

void proxied_call::on_hedge_due()
{
    hedge_timer_ = 0;
    const time_point now = front_.loop().now();
    if (dispatch::wants_hedge(state_) && routing::take_hedge(service_->view_, now)) {
        front_.metrics().hedges_.Increment();
        execute(dispatch::hedge(state_));
    }
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
    execute(dispatch::deadline_passed(state_));
}

void proxied_call::on_caller_gone()
{
    if (!finished_) {
        execute(dispatch::caller_left(state_));
        finish();
        count_end(telemetry::request_end::caller_left);
    }
}

void proxied_call::on_caller_drained()
{
    note_progress();
    for (attempt_exchange& exchange : exchanges_) {
        if (exchange.live_ && exchange.ready_) {
            exchange.connection_->resume_reading();
        }
    }
}

// While an answer is passed on, something must move within the body's idle time-out.
void proxied_call::note_progress()
{
    if (state_.phase_ != dispatch::call_phase::answering) {
        return;
    }
    progress_due_ = front_.loop().now() + service_->config_->body_idle_timeout_;
    if (progress_timer_ == 0) {
        progress_timer_ = front_.loop().at(progress_due_, [this] { check_progress(); });
    }
}

void proxied_call::check_progress()
{
    progress_timer_ = 0;
    if (front_.loop().now() < progress_due_) {
        progress_timer_ = front_.loop().at(progress_due_, [this] { check_progress(); });
        return;
    }
    execute(dispatch::caller_left(state_));
    finish();
    count_end(telemetry::request_end::broken_off);
    caller_.break_off();
}

void proxied_call::refuse(local_answer refusal)
{
    finish();
    count_end(telemetry::request_end::not_run);
    caller_.answer_locally(std::move(refusal));
}

void proxied_call::count_end(telemetry::request_end end)
{
    const duration taken = front_.loop().now() - started_;
    front_.metrics().requests_[end].Increment();
    front_.metrics().request_duration_.Observe(std::chrono::duration<double>(taken).count());
}

// Releases what the call holds. Safe to call again.
void proxied_call::finish()
{
    if (std::exchange(finished_, true)) {
        return;
    }
    front_.loop().cancel(deadline_timer_);
    front_.loop().cancel(hedge_timer_);
    front_.loop().cancel(progress_timer_);
    front_.loop().cancel(answer_timer_);
    release_claim();
    if (admitted_) {
        front_.release(customer_, *service_);
    }
    if (trace_.sampled_) {
        telemetry::span whole = telemetry::root_span(trace_, "call", front_.loop().now());
        whole.attributes_.emplace_back("http.request.method", head_.method_);
        front_.record(std::move(whole));
    }
}

} // namespace savoryscale::http
