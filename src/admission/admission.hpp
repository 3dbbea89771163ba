#pragma once

// Decides whether a call may start: the plan's rate and concurrency, and early refusal with
// priority and a fair share for each customer when the service is short of capacity. Refused calls
// never left the host.

#include "admission/limits.hpp"
#include "admission/token_bucket.hpp"
#include "base/clock.hpp"
#include "base/random.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savoryscale::admission {

enum class refusal : std::uint8_t {
    none,        // admitted
    no_lists,    // no configuration is known yet
    not_allowed, // no plan of this customer names the service
    rate,        // over the plan's rate
    concurrency, // over the plan's concurrency
    overload     // the service is short of capacity
};

struct verdict {
    refusal reason_ = refusal::none;
    duration retry_after_{}; // jittered, so that refused callers do not return together

    bool admitted() const { return reason_ == refusal::none; }
};

// Use of one service by one customer, or by all unknown ones together.
struct account {
    token_bucket bucket_;
    std::uint32_t in_flight_ = 0;
};

// How much of a service is in use, as routing sees it.
struct service_load {
    double in_use_ = 0; // calls in progress per slot, all hosts; above 1 calls wait
    double slots_ = 0;  // this host's share of the slots; 0: unknown, nothing is refused early
    std::uint32_t in_flight_ = 0;           // calls admitted here and not released
    std::uint32_t in_flight_when_told_ = 0; // the same when in_use_ was set
    std::uint32_t active_customers_ = 0;    // accounts with a call in flight
};

// Accounts exist only for customers in the lists that are active, and one a service for all others,
// so memory is bounded by the lists whatever names callers send. An account that is idle with a
// full bucket is dropped; that loses nothing.
struct state {
    bool has_lists_ = false;
    double share_ = 1;
    limits limits_;
    std::map<std::pair<std::string, std::string>, account> accounts_; // by service, customer
    std::map<std::string, service_load, std::less<>> loads_;          // by service
    std::pair<std::string, std::string> sweep_from_;
};

// A state without lists refuses every call. `share` is this host's part of every total.
state make_state(double share);

// Puts lists in force. Calls in progress and used-up rates are kept.
void set_lists(state&, const plans::lists&, time_point now);

// Tells how much of a service is in use; see service_load.
void set_load(state&, std::string_view service, double in_use, double slots);

// Admits or refuses one call. Each admitted call needs one release.
verdict admit(state&, std::string_view customer, std::string_view service, time_point now,
              random_source&);

// The call has ended, also when the lists have changed since it was admitted.
void release(state&, std::string_view customer, std::string_view service);

} // namespace savoryscale::admission
