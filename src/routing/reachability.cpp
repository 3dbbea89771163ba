#include "routing/reachability.hpp"

#include <utility>

namespace savoryscale::routing {

bool on_search_unanswered(reachability& reach, time_point now)
{
    if (reach.lost_at_) {
        return false;
    }
    reach.lost_at_ = now;
    reach.requests_ = 0;
    return true;
}

std::optional<reach_outage> on_target_answered(reachability& reach, time_point now)
{
    if (!reach.lost_at_) {
        return std::nullopt;
    }
    const time_point lost_at = *std::exchange(reach.lost_at_, std::nullopt);
    return reach_outage{now - lost_at, reach.requests_};
}

void on_request(reachability& reach)
{
    reach.requests_ += reach.lost_at_ ? 1 : 0;
}

} // namespace savoryscale::routing
