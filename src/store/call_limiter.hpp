#pragma once

// Limits the calls to the platform: a token bucket caps the calls per second, and after consecutive
// failures no call is sent during an exponential backoff. The backoff is jittered so that hosts do
// not all call again at the same moment when an outage ends.

#include "base/clock.hpp"
#include "base/random.hpp"

#include <cstdint>

namespace savoryscale::store {

struct call_limiter_options {
    double calls_per_second_ = 20; // also the size of the token bucket
    duration backoff_min_ = std::chrono::milliseconds{100};
    duration backoff_max_ = std::chrono::seconds{5};
};

// The limiter's state. The bucket is full at the start.
struct call_limiter {
    call_limiter_options options_;
    double tokens_ = 0;
    time_point refilled_at_{}; // when tokens_ was last computed
    std::uint32_t consecutive_failures_ = 0;
    time_point backoff_until_{};
};

call_limiter make_call_limiter(const call_limiter_options& options, time_point now);

// Returns whether a call may be sent now, and if so takes a token.
bool admit(call_limiter& limiter, time_point now);

// Records whether a call was answered. A single failure starts no backoff: one connection may have
// stopped responding while new ones work.
void record_result(call_limiter& limiter, bool answered, time_point now, random_source& random);

} // namespace savoryscale::store
