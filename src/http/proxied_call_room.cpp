// The part of a call that tells admission/room.hpp what it knows of its caller.

#include "admission/room.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "http/proxied_call.hpp"
#include "http/target_search.hpp"
#include "routing/placement.hpp"
#include "routing/slot_claim.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

namespace savoryscale::http {

namespace {

routing::slot_claim slot_claim_of(admission::standing chosen)
{
    switch (chosen) {
    case admission::standing::timely:
        return routing::slot_claim::in_time;
    case admission::standing::closing:
    case admission::standing::overdue:
        return routing::slot_claim::free_slot;
    default:
        return routing::slot_claim::any;
    }
}

} // namespace

// The limit of a request that another host hands on is what was left there; it says nothing about
// the caller.
void proxied_call::note_time_limit()
{
    if (!caller_time_limit_ || is_relayed()) {
        return;
    }
    admission::stated_limits& stated = service_->stated_limits_[route_->name_];
    admission::on_limit_stated(stated, *caller_time_limit_);
    time_tried_ = admission::time_tried(stated, *caller_time_limit_);
}

// When the answer is due by the route's latency objective; none without an objective, or when it
// has passed.
std::optional<time_point> proxied_call::objective_time() const
{
    const time_point due = started_ - time_tried_ + route_->latency_objective_;
    return due > http_task_.loop().now() ? std::optional{due} : std::nullopt;
}

admission::room_request proxied_call::room_request() const
{
    const duration here = http_task_.loop().now() - started_;
    admission::room_request request;
    request.tried_ = time_tried_ + here;
    if (caller_time_limit_) {
        request.left_ = *caller_time_limit_ - here;
    }
    if (route_->latency_objective_ > duration::zero()) {
        request.objective_ = route_->latency_objective_;
    }
    request.usual_work_ = routing::usual_work(service_->view_);
    return request;
}

// When the caller should return after a search without a target.
duration proxied_call::return_time(const search_result& found) const
{
    return admission::return_time(standing_, room_request(), found.retry_after_);
}

// A hedge is sent only to a free target, whatever its caller may claim.
search_claim proxied_call::claim_room(const attempt_exchange& attempt)
{
    const search_claim unbound{routing::slot_claim::any, objective_time(),
                               route_->latency_objective_};
    if (attempt.is_hedge_) {
        return unbound;
    }
    const admission::room& seen = service_->room_;
    standing_ = admission::standing_of(seen, room_request(), http_task_.loop().now());
    http_task_.metrics().standings_[standing_].Increment();
    if (standing_ == admission::standing::ample) {
        return unbound;
    }
    telemetry::decided("room_claimed", request_id_,
                       {{"standing", std::string{to_string(standing_)}},
                        {"tried_ms", log_ms(time_tried_)},
                        {"limit_ms", caller_time_limit_ ? log_ms(*caller_time_limit_) : ""},
                        {"objective_ms", log_ms(route_->latency_objective_)},
                        {"priority", std::to_string(priority())},
                        {"taken", fmt::format("{:.2f}", seen.taken_)},
                        {"taken_age_ms", log_ms(http_task_.loop().now() - seen.seen_at_)}});
    return {slot_claim_of(standing_), objective_time(), route_->latency_objective_};
}

} // namespace savoryscale::http
