#pragma once

// Descriptions of targets, their load, and the ends of attempts: the input of routing.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::routing {

// Identifies a target within one service view; not reused during the life of the process.
using target_index = std::uint32_t;

// One target as described by the host list, the settings or a peer.
struct target_info {
    settings::endpoint address_;
    std::string data_centre_;
    bool leaving_ = false;
    std::uint64_t incarnation_ = 0; // grows when the target restarts at the same address
    std::string id_{};              // id that requests can be bound to; empty: none
    std::uint32_t slots_ = 0;       // requests it runs at once; 0: not reported
    duration warm_up_{};            // time until the end of its slow start
};

// Load reported by a target, in the header of an answer or in the answer to a probe.
struct load_report {
    double requests_in_flight_ =
        0; // of all hosts, waiting or running, except the one that carries the report
    double utilization_ = 0; // fraction of its slots, 0 to 1
    bool draining_ = false;
    double slots_ = 0;    // requests it runs at once; 0: not reported
    double slowdown_ = 1; // processing time relative to the usual one
};

// How one attempt ended, as routing distinguishes it.
enum class attempt_end : std::uint8_t {
    answered, // a complete answer without a server error
    failed,   // a complete answer with a server error
    shed,     // refused by the target, with proof that it did not run
    broken,   // the connection failed or closed early
    crashed,  // the target closed the connection and refuses new ones
    timeout,  // no answer within the deadline
    abandoned // cancelled by this host: the caller left, or another attempt answered first
};

// The name in logs and metrics.
constexpr std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 7> names{"answered", "failed",  "shed",     "broken",
                                                    "crashed",  "timeout", "abandoned"};
    return names[static_cast<std::size_t>(end)];
}

// The end of one attempt. `latency_` is the time from sending to the end of the answer's header.
struct attempt_report {
    target_index target_ = 0;
    attempt_end end_ = attempt_end::answered;
    duration latency_{};
    std::optional<load_report> load_;
};

} // namespace savoryscale::routing
