#pragma once

// A lease on a role, stored in one object of the object API. A state machine without I/O: it takes
// events and the time, and returns the calls to make.
//
// The object's version is the fencing token: each write is conditional on the version it replaces.
// The holder counts the term from before it sent the write; all others count it from when they
// first saw the new version. So two hosts never hold the lease at once, whatever their clocks show.
// When the answer to a write is lost, a read finds out whether the write took effect.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace savoryscale::membership {

struct lease_settings {
    std::string key_;
    std::string holder_; // unique to this incarnation of the process
    duration term_ = std::chrono::seconds{10};
    duration margin_ = std::chrono::seconds{1}; // the holder stops this long before the term ends
    duration renew_period_ = std::chrono::seconds{3}; // while held
    duration read_period_ = std::chrono::seconds{3};  // while another holds it; jittered
};

// A call to make now; pass its answer to on_reply.
struct lease_call {
    store::operation operation_ = store::operation::get; // get, create or update
    std::string value_;
    std::uint64_t expected_version_ = 0;

    friend bool operator==(const lease_call&, const lease_call&) = default;
};

// State of one contender.
struct lease {
    lease_settings settings_;

    bool seen_ = false; // whether the next three members are known
    std::uint64_t seen_version_ = 0;
    std::string seen_holder_; // empty: released or no object
    time_point seen_since_{}; // when seen_version_ was first seen here

    std::optional<time_point> held_until_;       // by the local clock
    std::optional<time_point> unresolved_since_; // start of the first write with unknown outcome
    bool must_read_ = true;                      // before the next write is sent
    std::optional<lease_call> call_;             // in progress
    time_point call_started_{};
    time_point next_call_{};
    std::uint64_t conflicts_ = 0; // writes rejected because the version had changed
};

// Whether this host holds the lease now. Check before each action of the role.
bool is_held(const lease& state, time_point now);

// Whether another host holds the lease, as far as this host knows.
bool is_held_by_other(const lease& state, time_point now);

// Returns the call that is due, if any. With `wanted` false the lease is neither acquired nor
// renewed, and is released if held.
std::optional<lease_call> on_timer(lease& state, bool wanted, time_point now);

// Processes the answer to the call in progress.
void on_reply(lease& state, const store::object_reply& reply, time_point now,
              random_source& random);

} // namespace savoryscale::membership
