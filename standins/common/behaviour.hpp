#pragma once

// How a stand-in target behaves: its speed, its load report and its faults.

#include "base/error.hpp"
#include "base/random.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace savoryscale::standins {

// Faults one request can meet, each a probability per request.
struct fault_rates {
    double stall_ = 0;     // no answer; the connection closes after stall_ms_
    double truncate_ = 0;  // closes in the middle of the body
    double twice_ = 0;     // the whole answer is sent twice
    double late_ = 0;      // answers late_ms_ after the deadline
    double surplus_ = 0;   // bytes follow the answer
    double silence_ = 0;   // every established connection of the target goes silent
    double fail_fast_ = 0; // 500 at once; half of the commits run all the same
    double shed_ = 0;      // 503 with X-Shed, not run
};

// What a target does; changed at run time over the control port.
struct behaviour {
    std::uint32_t slots_ = 2;
    std::uint32_t queue_limit_ = 1000; // sheds above this many queued requests
    double service_us_ = 1000;         // mean service time
    double service_spread_ = 0.5;      // 0: constant, 1: exponential
    double slow_factor_ = 1;           // a straggler's service times are multiplied by this
    double noise_factor_ = 1;          // the same while a neighbour is noisy
    double noise_on_ms_ = 5;           // mean length of a noisy spell
    double noise_off_ms_ = 20;         // mean length of a quiet spell
    double cold_factor_ = 1;           // service time factor right after a start
    double cold_ms_ = 2000;            // until it has fallen to 1
    double open_us_ = 1000;            // from accept to the first read
    double load_lag_ms_ = 0;           // age of a load report, at least
    double load_factor_ = 1;           // load reports are multiplied by this
    double health_lag_ms_ = 0;         // health answers hide a drain for this long
    double stall_ms_ = 3000;
    double late_ms_ = 50;
    double down_ms_ = 500;            // refuses connections for this long after a crash
    double drain_idle_ms_ = 1000;     // closes idle connections this long after a drain
    double upload_bytes_per_s_ = 0;   // reads request bodies no faster; 0: no bound
    double download_bytes_per_s_ = 0; // sends bodies no faster; 0: no bound
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

// Draws the fault that one request meets; at most one.
fault draw_fault(const fault_rates& rates, random_source& random);

// Sets the fields of `current` that the JSON object names, by member name without the underscore.
// Unknown names and values that are no numbers are an error, and nothing is set.
result<behaviour> with_changes(const behaviour& current, const nlohmann::json& changes);

} // namespace savoryscale::standins
