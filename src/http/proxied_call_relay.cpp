// The part of a call that hands its request to another host, when this one reaches no target of
// the service. The other host treats it like a request of its own callers, but never hands it on.

#include "http/caller_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/http_task.hpp"
#include "http/proxied_call.hpp"
#include "http/upstream_connection.hpp"
#include "telemetry/log.hpp"

#include <utility>

namespace savoryscale::http {

namespace {

// Hosts to which one request is handed one after the other, until one of them runs it.
constexpr std::size_t relays_max = 4;

} // namespace

bool proxied_call::may_relay() const
{
    return !is_relayed() && http_task_.relays().is_enabled();
}

bool proxied_call::is_relayed() const
{
    return caller_.is_host();
}

// The caller's address, also when another host has handed the request on.
std::string_view proxied_call::caller_ip() const
{
    const std::string_view named = is_relayed() ? read_relayed_caller(head_).ip_ : "";
    return named.empty() ? caller_.ip() : named;
}

void proxied_call::begin_relay(attempt_exchange& attempt)
{
    relay_search_ = http_task_.relays().find(
        {directory::hash_of_service(service_->config_.name_),
         organisation_ != nullptr ? peer::organisation_formats : peer::first_formats},
        tried_relays_, [this, &attempt](const std::optional<relay_hosts::relay>& found) {
            relay_search_ = 0;
            on_relay_found(attempt, found);
        });
}

void proxied_call::on_relay_found(attempt_exchange& attempt,
                                  const std::optional<relay_hosts::relay>& found)
{
    telemetry::decided("request_handed_on", request_id_,
                       {{"attempt", std::to_string(attempt.id_)},
                        {"host", found ? to_string(found->address_) : ""}});
    connect_attempt(attempt, found ? acquire_relay(attempt, *found) : nullptr);
}

upstream_connection* proxied_call::acquire_relay(attempt_exchange& attempt,
                                                 const relay_hosts::relay& chosen)
{
    const time_point now = http_task_.loop().now();
    if (body_.size() <= replay_limit()) {
        caller_.resume_reading();
    }
    http_task_.metrics().relayed_requests_[telemetry::direction::sent].Increment();
    attempt.relay_ = chosen.address_;
    tried_relays_.push_back(chosen.address_);
    attempt.in_flight_ = true;
    attempt.connected_ = false;
    attempt.pool_ = chosen.pool_;
    attempt.target_name_ = "host " + to_string(chosen.address_);
    attempt.status_ = 0;
    attempt.started_ = now;
    attempt.sent_ = now;
    attempt.request_id_ = request_id_;
    attempt.span_ = telemetry::make_span_id(http_task_.random());
    upstream_connection* connection = chosen.pool_->acquire(&attempt, !state_.rules_.repeatable_);
    if (connection == nullptr) {
        attempt.in_flight_ = false;
    }
    return connection;
}

// The host has not run the request: it could not be reached, or says so.
void proxied_call::hand_on_again(attempt_exchange& attempt)
{
    http_task_.loop().cancel(std::exchange(attempt.open_timer_, 0));
    attempt.connection_ = nullptr;
    report_end(attempt, routing::attempt_end::shed, false);
    const bool may_again = tried_relays_.size() < relays_max && state_.body_replayable_ &&
                           time_left() > duration::zero();
    dispatch::on_attempt_returned(state_, attempt.id_);
    if (may_again) {
        begin_relay(attempt);
    }
    else {
        connect_attempt(attempt, nullptr);
    }
}

} // namespace savoryscale::http
