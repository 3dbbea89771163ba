#include "http/attempt_exchange.hpp"

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/front.hpp"
#include "http/head_text.hpp"
#include "http/load_fields.hpp"
#include "http/proxied_call.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"

#include <algorithm>

namespace savoryscale::http {

namespace {

// Whether the settings declare this answer as proof that the request was not run.
bool proves_not_run(const answer_head& head, const settings::service& service)
{
    const auto& statuses = service.not_run_statuses_;
    if (std::find(statuses.begin(), statuses.end(), head.status_) != statuses.end()) {
        return true;
    }
    return !service.not_run_header_.empty() && has_field(head, service.not_run_header_);
}

} // namespace

void attempt_exchange::on_ready(upstream_connection& connection)
{
    connection_ = &connection;
    ready_ = true;
    call_->send_request(*this);
}

void attempt_exchange::on_answer_head(const answer_head& head)
{
    proxied_call& call = *call_;
    answered_ = call.front_.loop().now();
    latency_ = answered_ - sent_;
    load_ = read_load(head);
    status_ = head.status_;
    if (!answers_request(head, request_id_)) {
        pool_->connection_poisoned();
        connection_->abandon();
        call.fail_attempt(*this, dispatch::attempt_failure::broken);
        return;
    }
    if (load_ && load_->draining_) {
        call.front_.target_is_draining(*call.service_, target_);
    }
    if (proves_not_run(head, *call.service_->config_)) {
        connection_->abandon();
        call.fail_attempt(*this, dispatch::attempt_failure::shed);
        return;
    }
    const bool granted = dispatch::wants_retry_of_answer(call.state_, id_, head.status_) &&
                         routing::take_retry(call.service_->view_, call.front_.loop().now());
    const dispatch::actions todo = dispatch::answer_begun(call.state_, id_, granted);
    if (granted) {
        call.front_.metrics().retries_.Increment();
    }
    else {
        call.caller_.begin_answer(head);
    }
    call.execute(todo);
}

void attempt_exchange::on_answer_body(std::string_view bytes)
{
    call_->note_progress();
    call_->caller_.answer_body(bytes);
    if (call_->caller_.queued() > queue_high_bytes) {
        connection_->pause_reading();
    }
}

void attempt_exchange::on_answer_complete()
{
    proxied_call& call = *call_;
    connection_ = nullptr;
    call.report_end(*this, routing::attempt_end::answered, true);
    dispatch::answer_completed(call.state_);
    call.count_end(telemetry::request_end::answered);
    call.finish();
    call.caller_.end_answer();
}

void attempt_exchange::on_failed(exchange_failure failure)
{
    connection_ = nullptr;
    proxied_call& call = *call_;
    const bool left = failure == exchange_failure::broken;
    if (failure == exchange_failure::refused) {
        call.front_.target_refused(*call.service_, target_);
    }
    call.fail_attempt(*this,
                      left ? dispatch::attempt_failure::broken : dispatch::attempt_failure::unsent);
}

void attempt_exchange::on_drained()
{
    call_->caller_.resume_reading();
}

} // namespace savoryscale::http
