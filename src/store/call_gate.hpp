#pragma once

// Decides whether a call to the platform may be sent now: a token bucket caps calls per second, and
// after failures in a row calls wait out a jittered exponential backoff, so that hosts do not
// return all at once when an outage ends.

#include "base/clock.hpp"
#include "base/random.hpp"

#include <cstdint>

namespace savoryscale::store {

struct call_gate_options {
    double calls_per_second_ = 20; // also the burst
    duration backoff_min_ = std::chrono::milliseconds{100};
    duration backoff_max_ = std::chrono::seconds{5};
};

// State of the gate. It starts with a full bucket.
struct call_gate {
    call_gate_options options_;
    double tokens_ = 0;
    time_point filled_{};        // when tokens_ was worked out
    std::uint32_t failures_ = 0; // in a row
    time_point closed_until_{};
};

call_gate make_call_gate(const call_gate_options& options, time_point now);

// Takes one token when the call may be sent; else the call is not to be sent.
bool admit(call_gate& gate, time_point now);

// Notes whether a call was answered. The first failure alone closes nothing: a single connection
// may have gone silent while new ones work.
void note_result(call_gate& gate, bool answered, time_point now, random_source& random);

} // namespace savoryscale::store
