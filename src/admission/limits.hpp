#pragma once

// The two lists as one host applies them: every total is scaled to the host's share.

#include "plans/lists.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::admission {

// What one customer may use of one service through this host.
struct limit {
    double calls_per_second_ = 0;
    double burst_calls_ = 0;
    std::uint32_t concurrency_ = 0;
    plans::priority priority_ = plans::priority::normal;
};

// Customers that are not listed share one account, limited by the plan of this name. Without such a
// plan they are refused.
inline constexpr std::string_view default_plan = "default";

using plan_limits = std::map<std::string, limit, std::less<>>; // by service

struct limits {
    std::map<std::string, plan_limits, std::less<>> plans_;            // by plan
    std::map<std::string, std::string, std::less<>> plan_of_customer_; // by customer
};

// Scales each total to `share` (above 0, at most 1). Concurrency is rounded up to a whole call and
// a burst is at least one, so that a customer can use its services through every host; therefore a
// total below the number of hosts may be exceeded by as many calls.
limits make_limits(const plans::lists&, double share);

// The limit of a customer, and whether it shares the account of unknown customers.
struct found_limit {
    limit limit_;
    bool shared_ = false;
};

// None when the customer's plan does not name the service, or an unlisted customer has no default
// plan.
std::optional<found_limit> find_limit(const limits&, std::string_view customer,
                                      std::string_view service);

} // namespace savoryscale::admission
