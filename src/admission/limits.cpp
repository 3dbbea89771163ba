#include "admission/limits.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::admission {

namespace {

constexpr double rounding_slack = 1e-9;

limit scale(const plans::allowance& total, double share)
{
    limit own;
    own.calls_per_second_ = total.calls_per_second_ * share;
    own.burst_calls_ = std::max(1.0, total.burst_calls_ * share);
    own.concurrency_ =
        static_cast<std::uint32_t>(std::ceil(total.concurrency_ * share - rounding_slack));
    own.priority_ = total.priority_;
    return own;
}

} // namespace

limits make_limits(const plans::lists& lists, double share)
{
    limits made;
    for (const auto& plan : lists.plans_) {
        plan_limits& services = made.plans_[plan.name_];
        for (const auto& allowance : plan.allowances_) {
            services[allowance.service_] = scale(allowance, share);
        }
    }
    for (const auto& customer : lists.customers_) {
        made.plan_of_customer_[customer.name_] = customer.plan_;
    }
    return made;
}

std::optional<found_limit> find_limit(const limits& limits, std::string_view customer,
                                      std::string_view service)
{
    const auto known = limits.plan_of_customer_.find(customer);
    const bool shared = known == limits.plan_of_customer_.end();
    const auto plan = limits.plans_.find(shared ? default_plan : std::string_view{known->second});
    if (plan == limits.plans_.end()) {
        return std::nullopt;
    }
    const auto own = plan->second.find(service);
    if (own == plan->second.end()) {
        return std::nullopt;
    }
    return found_limit{own->second, shared};
}

} // namespace savoryscale::admission
