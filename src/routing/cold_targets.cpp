#include "routing/cold_targets.hpp"

#include "routing/limit_granter.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::routing {

namespace {

// Part of the bound that grants may use up. Requests granted before a second may arrive within it,
// as their ways and connections take longer at some times than at others.
constexpr double used_fraction = 0.85;

// A cold target always gets a request now and then.
constexpr double per_second_min = 0.05;

} // namespace

bool is_cold(const target_state& target, time_point now)
{
    return target.warm_at_ > now;
}

std::optional<request_limit> limit_at(const service_view& view, const target_state& target,
                                      time_point now)
{
    std::optional<request_limit> limit;
    if (target.limit_) {
        limit = {target.limit_->per_second_, target.limit_->heard_at_};
    }
    if (view.cold_per_second_ > 0 && is_cold(target, now) &&
        (!limit || view.cold_per_second_ < limit->per_second_)) {
        limit = {view.cold_per_second_, target.warm_up_heard_at_};
    }
    return limit;
}

bool is_limited(const service_view& view, const target_state& target, time_point now)
{
    return target.limit_ || (view.cold_per_second_ > 0 && is_cold(target, now));
}

// With n granters and a rate r, a second may see r requests and what the granters have saved before
// it: 1 and half a second's grants each, but no less than 1.5 each.
double cold_rate(const settings::cold_bounds& bounds, double per_second, std::size_t granters)
{
    if (per_second <= 0) {
        return 0;
    }
    const auto n = static_cast<double>(granters);
    const double borne = per_second * bounds.overage_;
    const double usable = (borne + bounds.slack_) * used_fraction;
    const double with_savings = (usable - n) / 1.5;
    const double rate = with_savings >= n ? with_savings : usable - 1.5 * n;
    return std::clamp(rate, per_second_min, std::max(borne, per_second_min));
}

bool on_warm_up_heard(target_state& target, std::optional<duration> left, time_point now)
{
    const bool before = is_cold(target, now);
    target.warm_at_ = now + left.value_or(duration::zero());
    target.warm_up_heard_at_ = now;
    return !before && is_cold(target, now);
}

void set_cold(service_view& view, duration warm_up, double per_second)
{
    view.warm_up_ = warm_up;
    view.cold_per_second_ = per_second;
}

} // namespace savoryscale::routing
