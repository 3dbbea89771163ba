// The part of a call that claims its idempotency key before the request is sent.

#include "http/caller_connection.hpp"
#include "http/head_text.hpp"
#include "http/http_task.hpp"
#include "http/proxied_call.hpp"
#include "http/service_state.hpp"

#include <utility>

namespace savoryscale::http {

// A request that may not be repeated and carries an idempotency key is claimed in the object API
// before it is sent.
bool proxied_call::needs_claim() const
{
    return !state_.rules_.repeatable_ && http_task_.has_object_api() &&
           has_field(head_, idempotency_key_field);
}

void proxied_call::begin_claim()
{
    const std::string_view key = find_field(head_, idempotency_key_field);
    const std::string_view prefix = std::string_view{body_}.substr(0, replay_bytes_max);
    dispatch::idempotency_claim claim;
    claim.object_key_ = dispatch::idempotency_object_key(service_->config_.name_, customer_, key);
    claim.record_ = {http_task_.next_request_id(),
                     dispatch::request_digest(head_.method_, head_.target_, prefix),
                     http_task_.config().host_.id_,
                     static_cast<std::int64_t>(telemetry::wall_clock_ns() / 1'000'000)};
    claim.call_timeout_ = http_task_.config().platform_.call_timeout_;
    claim.deadline_ = deadline_;
    claim_ = std::move(claim);
    apply_claim_action(dispatch::begin_claim(*claim_));
}

void proxied_call::on_claim_reply(const store::object_reply& reply)
{
    claim_call_id_ = 0;
    apply_claim_action(dispatch::on_reply(*claim_, reply, http_task_.loop().now()));
}

void proxied_call::apply_claim_action(const dispatch::claim_action& action)
{
    switch (action.kind_) {
    case dispatch::claim_action_kind::submit:
        claim_timer_ = http_task_.loop().after(action.wait_, [this, call = action.call_] {
            claim_timer_ = 0;
            claim_call_id_ = http_task_.submit(call, this);
        });
        break;
    case dispatch::claim_action_kind::proceed:
        dispatch_now();
        break;
    case dispatch::claim_action_kind::refuse:
        finish();
        count_end(action.may_have_run_ ? telemetry::request_end::unknown
                                       : telemetry::request_end::not_run);
        caller_.answer_locally({action.status_, action.may_have_run_ ? "unknown" : "not-run",
                                action.may_have_run_
                                    ? "a request with this key came before; find out what it did"
                                    : "this request was not run",
                                std::nullopt, false});
        break;
    }
}

// Releases the key if nothing can have run under it, so that the caller may resend the request.
void proxied_call::release_claim()
{
    http_task_.loop().cancel(std::exchange(claim_timer_, 0));
    http_task_.ignore_object_reply(std::exchange(claim_call_id_, 0));
    if (claim_ && !dispatch::may_have_run(state_)) {
        if (auto call = dispatch::release(*claim_)) {
            http_task_.submit(std::move(*call), nullptr);
        }
    }
}

} // namespace savoryscale::http
