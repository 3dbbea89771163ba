// The part of a call that is in progress while the host stops; see dispatch/stop_schedule.hpp.

#include "http/caller_connection.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "http/proxied_call.hpp"
#include "http/service_state.hpp"
#include "http/upstream_connection.hpp"
#include "routing/service_view.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

// Retry-After of a request that another host can serve now.
constexpr duration other_host_retry_after = std::chrono::milliseconds{50};

constexpr int status_unavailable = 503;

} // namespace

// The time that a target may still use: until the deadline, or until this host ends.
duration proxied_call::time_left() const
{
    const auto& stop = http_task_.stop_schedule();
    const time_point end = stop ? std::min(deadline_, target_deadline(*stop)) : deadline_;
    return end - http_task_.loop().now();
}

// How long an answer to this request rarely takes longer than.
duration proxied_call::expected_latency(const attempt_exchange* attempt) const
{
    const duration placed = attempt == nullptr ? duration::zero() : attempt->expected_;
    return routing::latency_bound(service_->view_, placed, route_->latency_objective_);
}

bool proxied_call::is_too_late_to_send(const attempt_exchange* attempt) const
{
    const auto& stop = http_task_.stop_schedule();
    return stop && !is_answered_before(*stop, expected_latency(attempt), http_task_.loop().now());
}

// The host ends before a target could be expected to answer: the request is not sent.
bool proxied_call::drop_if_too_late(attempt_exchange& attempt)
{
    if (!is_too_late_to_send(&attempt)) {
        return false;
    }
    telemetry::decided("attempt_too_late_to_send", request_id_,
                       {{"attempt", std::to_string(attempt.id_)},
                        {"target", attempt.target_name_},
                        {"expected_ms", log_ms(expected_latency(&attempt))},
                        {"left_ms", log_ms(time_left())}});
    retry_after_ = other_host_retry_after;
    std::exchange(attempt.connection_, nullptr)->abandon();
    report_end(attempt, routing::attempt_end::abandoned, false);
    connect_attempt(attempt, nullptr);
    return true;
}

void proxied_call::refuse_as_stopping()
{
    refuse({status_unavailable, "not-run", "this host is stopping; use another",
            duration{other_host_retry_after}, false});
}

// Called now and then while the host stops.
void proxied_call::on_host_stopping()
{
    const time_point now = http_task_.loop().now();
    if (finished_ || !allotted_) {
        return;
    }
    if (!dispatched_ && is_too_late_to_send(nullptr)) {
        refuse_as_stopping();
    }
    else if (dispatched_ && now >= answer_deadline(*http_task_.stop_schedule())) {
        execute(dispatch::on_deadline_passed(state_));
    }
}

} // namespace savoryscale::http
