#include "routing/reachability.hpp"

#include <chrono>
#include <utility>

namespace savoryscale::routing {

namespace {

// Longer than a busy link delays an answer.
constexpr duration heard_lifetime = std::chrono::seconds{1};

} // namespace

bool on_search_unanswered(reachability& reach, time_point now)
{
    reach.next_check_ = now + reach_check_interval;
    if (reach.lost_at_) {
        return false;
    }
    reach.lost_at_ = now;
    reach.requests_ = 0;
    return true;
}

std::optional<reach_outage> on_target_answered(reachability& reach, time_point now)
{
    reach.heard_at_ = now;
    if (!reach.lost_at_) {
        return std::nullopt;
    }
    const time_point lost_at = *std::exchange(reach.lost_at_, std::nullopt);
    return reach_outage{now - lost_at, reach.requests_};
}

bool is_heard_lately(const reachability& reach, time_point now)
{
    return !reach.lost_at_ && now - reach.heard_at_ < heard_lifetime;
}

void on_request(reachability& reach)
{
    reach.requests_ += reach.lost_at_ ? 1 : 0;
}

bool is_search_due(reachability& reach, time_point now)
{
    if (!reach.lost_at_) {
        return true;
    }
    if (now < reach.next_check_) {
        return false;
    }
    reach.next_check_ = now + reach_check_interval;
    return true;
}

} // namespace savoryscale::routing
