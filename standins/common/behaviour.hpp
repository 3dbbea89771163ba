#pragma once

// How a stand-in target behaves: its speed, its load report and the faults that it injects.

#include "base/error.hpp"
#include "base/random.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace savoryscale::standins {

// Probability of each injected fault per request.
struct fault_rates {
    double stall_ = 0;     // no answer; the connection closes after stall_ms_
    double truncate_ = 0;  // closes in the middle of the body
    double twice_ = 0;     // the whole answer is sent twice
    double late_ = 0;      // answers late_ms_ after the deadline
    double surplus_ = 0;   // extra bytes follow the answer
    double silence_ = 0;   // all established connections of the target stop answering
    double fail_fast_ = 0; // 500 at once; half of the commits run nevertheless
    double shed_ = 0;      // 503 with X-Shed; the request is not run
};

// Settings of a target; they can be changed at run time over the control port.
struct behaviour {
    std::uint32_t slots_ = 2;
    std::uint32_t queue_limit_ = 1000; // sheds above this many queued requests
    double service_us_ = 1000;         // mean service time
    double service_spread_ = 0.5;      // 0: constant, 1: exponential
    double slow_factor_ = 1;           // service time factor of a straggler
    double noise_factor_ = 1;  // service time factor during a noisy period (noisy neighbour)
    double noise_on_ms_ = 5;   // mean length of a noisy period
    double noise_off_ms_ = 20; // mean length of a quiet period
    double cold_factor_ = 1;   // service time factor right after a start
    double cold_ms_ = 2000;    // time until cold_factor_ has fallen to 1
    double open_us_ = 1000;    // from accept to the first read
    double load_lag_ms_ = 0;   // minimum age of the load in a load report
    double load_factor_ = 1;   // reported load is multiplied by this
    double health_lag_ms_ = 0; // health checks still succeed for this long after a drain starts
    double stall_ms_ = 3000;
    double late_ms_ = 50;
    double down_ms_ = 500;            // refuses connections for this long after a crash
    double drain_idle_ms_ = 1000;     // closes idle connections this long after a drain starts
    double upload_bytes_per_s_ = 0;   // limit on reading request bodies; 0: unlimited
    double download_bytes_per_s_ = 0; // limit on sending bodies; 0: unlimited
    fault_rates faults_;
};

enum class fault : std::uint8_t {
    none,
    stall,
    truncate,
    twice,
    late,
    surplus,
    silence,
    fail_fast,
    shed,
};

// Draws at most one fault to inject into a request.
fault draw_fault(const fault_rates& rates, random_source& random);

// Returns `current` with the fields changed that the JSON object names (member names without the
// trailing underscore). Unknown names and values other than numbers of at least 0 are an error.
result<behaviour> with_changes(const behaviour& current, const nlohmann::json& changes);

} // namespace savoryscale::standins
