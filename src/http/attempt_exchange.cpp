#include "http/attempt_exchange.hpp"

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/head_text.hpp"
#include "http/http_task.hpp"
#include "http/load_fields.hpp"
#include "http/proxied_call.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <array>

namespace savoryscale::http {

namespace {

constexpr int status_other_server = 421; // the address belongs to another server now

// Whether the settings declare such an answer as proof that the request was not run. Where targets
// echo the caller's id, an answer without it may be one to an earlier request, written once more.
bool proves_not_run(const answer_head& head, const settings::service& service,
                    const settings::header_names& names)
{
    if (names.caller_sets_request_id_ && !has_field(head, names.request_id_)) {
        return false;
    }
    const auto& statuses = service.not_run_statuses_;
    if (std::find(statuses.begin(), statuses.end(), head.status_) != statuses.end()) {
        return true;
    }
    return !service.not_run_header_.empty() && has_field(head, service.not_run_header_);
}

// False for a success without the seal header, if the settings name one: targets put it on each of
// their answers, so the answer is not from the target.
bool has_required_seal(const answer_head& head, const settings::header_names& names)
{
    const bool success = head.status_ >= 200 && head.status_ < 300;
    return !success || names.seal_.empty() || has_field(head, names.seal_);
}

// Statuses that callers take as "the request was not run". One from a target, without proof, must
// not be forwarded.
bool implies_not_run(const answer_head& head)
{
    constexpr std::array<int, 4> refusals{408, 421, 429, 503};
    return std::find(refusals.begin(), refusals.end(), head.status_) != refusals.end();
}

} // namespace

void attempt_exchange::on_ready(upstream_connection& connection)
{
    connection_ = &connection;
    connected_ = true;
    call_->send_request(*this);
}

bool attempt_exchange::on_answer_head(const answer_head& head)
{
    proxied_call& call = *call_;
    const settings::header_names& names = call.http_task_.config().header_names_;
    if (!has_matching_request_id(head, request_id_, names)) {
        if (names.caller_sets_request_id_) {
            return false; // late answer to an earlier request
        }
        pool_->connection_poisoned();
        connection_->abandon();
        call.fail_attempt(*this, dispatch::attempt_failure::broken);
        return true;
    }
    answered_ = call.http_task_.loop().now();
    latency_ = answered_ - sent_;
    status_ = head.status_;
    if (relay_) {
        if (on_relay_answer(head)) {
            return true;
        }
    }
    else {
        call.http_task_.on_target_heard(*call.service_);
        load_ = names.load_.empty() ? read_load(head) : read_compact_load(head, names.load_);
    }
    if (!relay_ && status_ != status_other_server) {
        call.http_task_.on_limit_field(*call.service_, target_, head,
                                       routing::limit_source::request);
    }
    if (load_ && load_->draining_) {
        call.http_task_.on_target_draining(*call.service_, target_);
    }
    if (proves_not_run(head, call.service_->config_, names)) {
        connection_->abandon();
        call.fail_attempt(*this, dispatch::attempt_failure::shed);
        return true;
    }
    if (!has_required_seal(head, names) ||
        (call.http_task_.config().listen_.refusals_prove_not_run_ && implies_not_run(head))) {
        connection_->abandon();
        call.fail_attempt(*this, dispatch::attempt_failure::broken);
        return true;
    }
    const bool granted = dispatch::wants_retry_of_answer(call.state_, id_, head.status_) &&
                         routing::take_retry(call.service_->view_, call.http_task_.loop().now());
    if (granted) {
        call.http_task_.metrics().retries_.Increment();
        call.execute(dispatch::on_answer_started(call.state_, id_, granted));
        return true;
    }
    head_ = head;
    buffered_body_.clear();
    forwarding_ = false;
    return true;
}

// The other host says of each answer of its own whether the request may have run.
bool attempt_exchange::on_relay_answer(const answer_head& head)
{
    const std::string_view outcome = find_field(head, outcome_field);
    if (outcome.empty()) {
        return false; // the answer of a target
    }
    if (has_field(head, unreached_field)) {
        call_->http_task_.relays().on_failed(*relay_);
    }
    connection_->abandon();
    if (outcome == dispatch::to_string(dispatch::outcome::not_run)) {
        call_->hand_on_again(*this);
    }
    else {
        call_->fail_attempt(*this, dispatch::attempt_failure::broken);
    }
    return true;
}

void attempt_exchange::on_answer_body(std::string_view bytes)
{
    buffered_body_.append(bytes);
    if (!forwarding_ && buffered_body_.size() <= call_->http_task_.body_limit(answer_buffer_max)) {
        return;
    }
    call_->forward_answer(*this);
    if (call_->caller_.queued() > call_->http_task_.body_limit(queue_high_bytes)) {
        connection_->pause_reading();
    }
}

void attempt_exchange::on_answer_complete()
{
    proxied_call& call = *call_;
    connection_ = nullptr;
    if (!forwarding_ && !buffered_body_.empty()) {
        head_.content_length_ = buffered_body_.size();
        head_.chunked_ = false;
    }
    call.forward_answer(*this);
    call.report_end(*this, routing::attempt_end::answered, true);
    dispatch::on_answer_completed(call.state_);
    call.count_end(telemetry::request_end::answered);
    call.log_answer(*this);
    call.finish();
    call.caller_.end_answer();
}

void attempt_exchange::on_failed(exchange_failure failure)
{
    connection_ = nullptr;
    proxied_call& call = *call_;
    const bool was_sent = failure == exchange_failure::broken;
    if (relay_ && !was_sent) {
        call.http_task_.relays().on_failed(*relay_);
        call.hand_on_again(*this);
        return;
    }
    if (failure == exchange_failure::refused) {
        call.http_task_.on_connection_refused(*call.service_, target_);
    }
    call.fail_attempt(*this, was_sent ? dispatch::attempt_failure::broken
                                      : dispatch::attempt_failure::unsent);
}

void attempt_exchange::on_drained()
{
    call_->caller_.resume_reading();
}

} // namespace savoryscale::http
