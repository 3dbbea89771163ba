#pragma once

// Decides whether a call may start: it applies the plan's rate and concurrency, and when the
// service is short of capacity it refuses by priority and by the customer's fair share. A refused
// call has not left the host.

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
    not_allowed, // the customer's plan has no allowance for the service
    rate,        // over the plan's rate
    concurrency, // over the plan's concurrency
    overload     // the service is short of capacity
};

struct verdict {
    refusal reason_ = refusal::none;
    duration retry_after_{}; // jittered, so that refused callers do not retry at the same time

    bool admitted() const { return reason_ == refusal::none; }
};

// Use of one service by one customer, or by all unknown customers together.
struct account {
    token_bucket bucket_;
    std::uint32_t in_flight_ = 0;
};

// The load of a service, as measured by routing.
struct service_load {
    double calls_per_slot_ = 0; // calls in progress per slot, of all hosts; above 1 calls wait
    double slots_ = 0;          // this host's share of the slots; 0: unknown, no overload refusals
    std::uint32_t in_flight_ = 0;           // calls admitted here and not yet released
    std::uint32_t in_flight_at_update_ = 0; // in_flight_ when calls_per_slot_ was set
    std::uint32_t active_customers_ = 0;    // accounts with a call in flight
};

// Accounts exist only for active customers in the lists, plus one per service for all others, so
// the lists bound the memory whatever names callers send. An idle account with a full bucket is
// evicted; it holds no information.
struct state {
    bool has_lists_ = false;
    double share_ = 1;
    limits limits_;
    std::map<std::pair<std::string, std::string>, account> accounts_; // by service, customer
    std::map<std::string, service_load, std::less<>> loads_;          // by service
    std::pair<std::string, std::string> sweep_from_;
};

// A state without lists refuses every call. `share` is this host's fraction of every total.
state make_state(double share);

// Applies lists. Calls in progress and the tokens used are kept.
void set_lists(state&, const plans::lists&, time_point now);

// Updates the load of a service; see service_load.
void set_load(state&, std::string_view service, double calls_per_slot, double slots);

// Admits or refuses one call. Each admitted call must be released once.
verdict admit(state&, std::string_view customer, std::string_view service, time_point now,
              random_source&);

// Releases a call that has ended. The lists may have changed since it was admitted.
void release(state&, std::string_view customer, std::string_view service);

} // namespace savoryscale::admission
