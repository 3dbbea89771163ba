#pragma once

// A lease on a role, held in one object of the object API: events and the time in, calls out.
//
// The object's version is the fencing token: each write is conditional on the version it follows.
// The holder counts its term from before the write was sent; everyone else counts it from when they
// first saw the version, so that two hosts never hold it at once, whatever their clocks show. An
// answer that is lost is settled by reading.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace savoryscale::membership {

struct lease_settings {
    std::string key_;
    std::string holder_; // unique to this life of the process
    duration term_ = std::chrono::seconds{10};
    duration margin_ = std::chrono::seconds{1};       // the holder stops this much before the end
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

    bool seen_ = false; // the object was read; the next three tell what it held
    std::uint64_t seen_version_ = 0;
    std::string seen_holder_; // empty: released, or no object
    time_point seen_since_{}; // when seen_version_ was first seen here

    std::optional<time_point> held_until_;      // by the own clock
    std::optional<time_point> unsettled_since_; // start of the first write that may yet take effect
    bool must_read_ = true;                     // before the next write
    std::optional<lease_call> call_;            // under way
    time_point call_started_{};
    time_point next_call_{};
    std::uint64_t conflicts_ = 0; // writes that another holder's write came before
};

// Whether the role may be acted on now. Ask before each act.
bool is_held(const lease& state, time_point now);

// Whether another host holds it, as far as is known here.
bool is_held_by_other(const lease& state, time_point now);

// The call that is due, if any. A host that does not want the role (any more) neither takes nor
// renews it; a lease held is then given back.
std::optional<lease_call> on_timer(lease& state, bool wanted, time_point now);

// The answer to the call under way.
void on_reply(lease& state, const store::object_reply& reply, time_point now,
              random_source& random);

} // namespace savoryscale::membership
