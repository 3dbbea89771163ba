// The part of a call that finds targets for its attempts, sends them, and handles how they end.

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/head_text.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "http/proxied_call.hpp"
#include "http/service_state.hpp"
#include "http/target_search.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// A connection that does not open within this time counts as refused.
constexpr duration open_timeout = 300ms;

// When an unanswered attempt is cancelled after this time, its network path may have failed,
// so idle connections to the target that have not worked since are closed.
constexpr duration silence_threshold = 250ms;

// An attempt is sent only if more than this fraction of its expected time is left before the
// deadline.
constexpr double required_time_fraction = 0.8;

constexpr int status_server_error = 500; // and above

} // namespace

void proxied_call::open_attempt(dispatch::attempt_id id)
{
    attempt_exchange& attempt = exchanges_[id];
    if (service_->view_.policy_ == routing::policy::probed) {
        begin_search(attempt);
        return;
    }
    connect_attempt(attempt, acquire_target(attempt));
}

void proxied_call::connect_attempt(attempt_exchange& attempt, upstream_connection* connection)
{
    if (connection == nullptr) {
        execute(dispatch::on_attempt_ended(state_, attempt.id_,
                                           dispatch::attempt_failure::no_target, false));
        return;
    }
    if (!attempt.connected_) {
        attempt.connection_ = connection;
        attempt.open_timer_ = http_task_.loop().after(open_timeout, [this, &attempt] {
            attempt.open_timer_ = 0;
            std::exchange(attempt.connection_, nullptr)->abandon();
            if (attempt.relay_) {
                http_task_.relays().on_failed(*attempt.relay_);
                hand_on_again(attempt);
                return;
            }
            http_task_.on_connection_refused(*service_, attempt.target_);
            fail_attempt(attempt, dispatch::attempt_failure::unsent);
        });
    }
}

std::vector<routing::target_index> proxied_call::tried_targets(dispatch::attempt_id before) const
{
    std::vector<routing::target_index> tried;
    for (std::size_t i = 0; i < before; ++i) {
        if (exchanges_[i].pool_ != nullptr && !exchanges_[i].relay_) {
            tried.push_back(exchanges_[i].target_);
        }
    }
    return tried;
}

// While a target is searched for, the rest of a long body stays with the caller: it would delay the
// answers to the probes on this host's link, and may have to be refused.
void proxied_call::begin_search(attempt_exchange& attempt)
{
    if (!request_ended_) {
        caller_.pause_reading();
    }
    routing::on_request(service_->reach_);
    if (!routing::is_search_due(service_->reach_, http_task_.loop().now())) {
        if (may_relay() && (!attempt.is_hedge_ || take_hedge())) {
            begin_relay(attempt);
        }
        else {
            connect_attempt(attempt, nullptr);
        }
        return;
    }
    const auto search = std::make_shared<target_search>(
        http_task_, *service_, tried_targets(attempt.id_), !attempt.is_hedge_, priority(),
        claim_room(attempt), time_left(),
        [this, &attempt](const search_result& found) { on_search_done(attempt, found); });
    attempt.search_ = search;
    search->start();
}

void proxied_call::on_search_done(attempt_exchange& attempt, const search_result& found)
{
    attempt.search_.reset();
    if (body_.size() <= replay_limit()) {
        caller_.resume_reading();
    }
    const duration left = time_left();
    const bool wanted =
        !attempt.is_hedge_ ||
        (routing::has_free_target(service_->view_, found.probed_, http_task_.loop().now()) &&
         take_hedge());
    const bool in_time =
        found.placed_ && wanted &&
        std::chrono::duration<double>{found.placed_->expected_}.count() * required_time_fraction <
            std::chrono::duration<double>{left}.count();
    std::string loads;
    for (const routing::probed_target& one : found.probed_) {
        if (one.load_) {
            loads += log_load(http_task_.target_name(*service_, one.target_), *one.load_);
        }
    }
    const routing::target_limit* limit =
        found.placed_ ? http_task_.limit_of(*service_, found.placed_->target_) : nullptr;
    telemetry::decided(
        "attempt_placed", request_id_,
        {{"attempt", std::to_string(attempt.id_)},
         {"target", found.placed_ ? http_task_.target_name(*service_, found.placed_->target_) : ""},
         {"expected_ms", found.placed_ ? log_ms(found.placed_->expected_) : ""},
         {"left_ms", log_ms(left)},
         {"beside", attempt.is_hedge_ ? "yes" : "no"},
         {"in_time", in_time ? "yes" : "no"},
         {"why", routing::to_string(found.end_)},
         {"probes", std::to_string(found.probes_)},
         {"answers", std::to_string(found.answers_)},
         {"probed", loads},
         {"limit", limit != nullptr ? log_limit(*limit) : ""},
         {"limit_age_ms",
          limit != nullptr ? log_ms(http_task_.loop().now() - limit->heard_at_) : ""},
         {"limit_granted",
          limit != nullptr
              ? std::to_string(service_->view_.targets_[found.placed_->target_].granted_)
              : ""}});
    limited_ = found.end_ == routing::search_end::limited;
    if (!found.placed_ && !attempt.is_hedge_ && service_->reach_.lost_at_ && may_relay()) {
        retry_after_ = return_time(found);
        begin_relay(attempt);
        return;
    }
    if (!in_time) {
        retry_after_ = return_time(found);
        connect_attempt(attempt, nullptr);
        return;
    }
    attempt.expected_ = found.placed_->expected_;
    connect_attempt(attempt, acquire_connection(attempt, found.placed_->target_));
}

// Chooses a target and acquires a connection to it. Targets of earlier attempts, and those without
// a free connection, are excluded; so a hedge never goes to the target of the first attempt.
upstream_connection* proxied_call::acquire_target(attempt_exchange& attempt)
{
    const time_point now = http_task_.loop().now();
    std::vector<routing::target_index> exclude = tried_targets(attempt.id_);
    while (const auto target =
               routing::choose(service_->view_, exclude, now, http_task_.random())) {
        if (upstream_connection* connection = acquire_connection(attempt, *target)) {
            return connection;
        }
        exclude.push_back(*target);
    }
    return nullptr;
}

// Acquires a connection to the target for the attempt. Null when the pool has none available, or
// when another request suspected of crashing targets runs there.
upstream_connection* proxied_call::acquire_connection(attempt_exchange& attempt,
                                                      routing::target_index target)
{
    const time_point now = http_task_.loop().now();
    connection_pool& pool = http_task_.pool_of(*service_, target);
    const std::string name = http_task_.target_name(*service_, target);
    if (!pool.has_room() || admission::runs_other_suspect(http_task_.request_quarantine(),
                                                          fingerprints_.caller_, name, now)) {
        return nullptr;
    }
    attempt.in_flight_ = true;
    attempt.connected_ = false;
    attempt.target_ = target;
    attempt.pool_ = &pool;
    attempt.target_name_ = name;
    attempt.instance_ = service_->view_.targets_[target].info_.id_;
    attempt.started_ = now;
    attempt.sent_ = now;
    attempt.request_id_ = http_task_.config().header_names_.caller_sets_request_id_
                              ? request_id_
                              : http_task_.next_request_id();
    attempt.span_ = telemetry::make_span_id(http_task_.random());
    routing::on_attempt_started(service_->view_, target, now);
    upstream_connection* connection = pool.acquire(&attempt, !state_.rules_.repeatable_);
    if (connection == nullptr) {
        report_end(attempt, routing::attempt_end::abandoned, false);
        return nullptr;
    }
    if (service_->view_.policy_ != routing::policy::probed) {
        pool.ensure_idle_connection();
    }
    return connection;
}

void proxied_call::send_request(attempt_exchange& attempt)
{
    const time_point now = http_task_.loop().now();
    http_task_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    if (drop_if_too_late(attempt)) {
        return;
    }
    if (const auto checked = check_caller_again(); !checked.is_passed()) {
        refuse_before_sending(checked);
        return;
    }
    attempt.sent_ = now;
    dispatch::on_attempt_sent(state_, attempt.id_);
    if (!attempt.relay_) {
        http_task_.on_upstream_request_sent(fingerprints_, attempt.target_name_);
    }

    forwarded_fields added;
    added.traceparent_ = telemetry::outgoing_traceparent(trace_, attempt.span_);
    added.request_id_ = attempt.request_id_;
    added.remaining_ = time_left();
    added.allow_inner_retries_ = false;
    upstream_connection& connection = *attempt.connection_;
    added.expect_instance_ = attempt.instance_;
    const std::string_view organisation =
        organisation_ != nullptr ? std::string_view{organisation_->name_} : std::string_view{};
    if (attempt.relay_) {
        added.relayed_caller_ = relayed_caller_text({caller_ip(), organisation});
    }
    else {
        added.organisation_ = organisation;
    }
    connection.send_head(upstream_request_text(head_, added, http_task_.config().header_names_),
                         head_.method_ == "HEAD");
    if (!body_.empty()) {
        send_body_to(connection, body_);
        if (body_.size() > replay_limit()) {
            state_.body_replayable_ = false;
            body_.clear();
            body_.shrink_to_fit();
        }
    }
    if (request_ended_) {
        end_request_on(connection);
    }
    else {
        caller_.resume_reading();
    }
    if (!attempt.relay_) {
        arm_hedge();
    }
}

void proxied_call::send_body_to(upstream_connection& connection, std::string_view bytes)
{
    connection.send_body(head_.chunked_ ? chunk_text(bytes) : std::string{bytes});
}

void proxied_call::end_request_on(upstream_connection& connection)
{
    if (head_.chunked_) {
        connection.send_body(last_chunk);
    }
    connection.end_request();
}

void proxied_call::cancel_attempt(dispatch::attempt_id id)
{
    attempt_exchange& attempt = exchanges_[id];
    http_task_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    attempt.search_.reset();
    http_task_.relays().cancel(std::exchange(relay_search_, 0)); // of the last attempt
    if (!attempt.in_flight_) {
        return;
    }
    const bool unanswered = attempt.status_ == 0 && attempt.connected_;
    if (unanswered && http_task_.loop().now() - attempt.sent_ >= silence_threshold) {
        attempt.pool_->close_idle_unverified_since(attempt.sent_);
    }
    std::exchange(attempt.connection_, nullptr)->abandon();
    const bool failed_answer = attempt.status_ >= status_server_error;
    const bool late = deadline_reached_ && !waits_for_caller_;
    report_end(attempt,
               failed_answer ? routing::attempt_end::failed
               : late        ? routing::attempt_end::timeout
                             : routing::attempt_end::abandoned,
               false);
}

// Reports the end of the attempt to routing and quarantine. `finished`: the answer was complete.
void proxied_call::report_end(attempt_exchange& attempt, routing::attempt_end end, bool finished)
{
    if (!std::exchange(attempt.in_flight_, false)) {
        return;
    }
    if (finished && attempt.status_ >= status_server_error) {
        end = routing::attempt_end::failed;
    }
    if (!attempt.relay_) {
        report_end_at_target(attempt, end, finished);
    }
    const time_point now = http_task_.loop().now();
    http_task_.metrics().attempts_[end].Increment();
    telemetry::decided("attempt_ended", request_id_,
                       {{"attempt", std::to_string(attempt.id_)},
                        {"target", attempt.target_name_},
                        {"instance", attempt.instance_},
                        {"fingerprint", admission::name_of(fingerprints_.caller_)},
                        {"content", admission::name_of(fingerprints_.content_)},
                        {"end", std::string{to_string(end)}},
                        {"status", std::to_string(attempt.status_)},
                        {"taken_ms", log_ms(now - attempt.sent_)}});
    record_attempt(attempt, finished);
}

void proxied_call::report_end_at_target(attempt_exchange& attempt, routing::attempt_end end,
                                        bool finished)
{
    const time_point now = http_task_.loop().now();
    const routing::target_state& target = service_->view_.targets_[attempt.target_];
    const time_point ejected_before = target.ejected_until_;
    routing::on_attempt_ended(service_->view_,
                              {attempt.target_, end, attempt.latency_, attempt.load_}, now);
    if (target.ejected_until_ > ejected_before) {
        telemetry::state_change("target_ejected",
                                {{"service", service_->config_.name_},
                                 {"target", attempt.target_name_},
                                 {"failure_ratio", fmt::format("{:.2f}", target.failure_ratio_)},
                                 {"for_ms", log_ms(target.ejected_until_ - now)}},
                                telemetry::severity::warning);
    }
    if (end == routing::attempt_end::broken) {
        http_task_.on_connection_broken(*service_, attempt.target_, fingerprints_);
    }
    else if (attempt.connected_) {
        const upstream_end upstream = finished && attempt.status_ < status_server_error
                                          ? upstream_end::completed
                                      : attempt.status_ == 0 ? upstream_end::unanswered
                                                             : upstream_end::other;
        http_task_.on_upstream_request_ended(fingerprints_, attempt.target_name_, upstream);
    }
}

// Forwards the received part of the attempt's answer. The first call also cancels the other
// attempts.
void proxied_call::forward_answer(attempt_exchange& attempt)
{
    if (!std::exchange(attempt.forwarding_, true)) {
        const dispatch::actions todo = dispatch::on_answer_started(state_, attempt.id_, false);
        caller_.begin_answer(attempt.head_);
        execute(todo);
    }
    note_progress();
    caller_.answer_body(attempt.buffered_body_);
    attempt.buffered_body_.clear();
}

void proxied_call::log_answer(const attempt_exchange& attempt) const
{
    telemetry::decided("request_answered", request_id_,
                       {{"status", std::to_string(attempt.status_)},
                        {"target", attempt.target_name_},
                        {"attempts", std::to_string(state_.attempt_count_)},
                        {"taken_ms", log_ms(http_task_.loop().now() - started_)}});
}

void proxied_call::fail_attempt(attempt_exchange& attempt, dispatch::attempt_failure failure)
{
    http_task_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    attempt.connection_ = nullptr;
    report_end(attempt,
               failure == dispatch::attempt_failure::shed     ? routing::attempt_end::shed
               : failure == dispatch::attempt_failure::unsent ? routing::attempt_end::crashed
                                                              : routing::attempt_end::broken,
               false);
    const time_point now = http_task_.loop().now();
    const bool suspect = http_task_.is_quarantined(fingerprints_);
    // An attempt that was never sent put no load on an upstream, so retrying it needs no budget.
    const bool is_free = failure == dispatch::attempt_failure::unsent;
    const bool granted = !suspect && time_left() > duration::zero() &&
                         dispatch::wants_retry(state_, attempt.id_, failure) &&
                         (is_free || routing::take_retry(service_->view_, now));
    if (granted) {
        http_task_.metrics().retries_.Increment();
    }
    execute(dispatch::on_attempt_ended(state_, attempt.id_, failure, granted));
}

} // namespace savoryscale::http
