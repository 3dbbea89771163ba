#pragma once

// What routing is told about targets, and what it answers with.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::routing {

// Names a target within one service view; never reused while the process lives.
using target_index = std::uint32_t;

// One target as the host list, the settings or a peer describe it.
struct target_info {
    settings::endpoint address_;
    std::string data_centre_;
    bool leaving_ = false;
    std::uint64_t incarnation_ = 0; // grows when the target restarts at the same address
    std::string id_{};              // that requests can be bound to; empty: none
    std::uint32_t slots_ = 0;       // requests it runs at once; 0: not told
    duration warm_up_{};            // how much longer it is slow after its start
};

// Load as a target reports it, in an answer's headers or in a probe's answer.
struct load_report {
    double requests_in_flight_ =
        0;                   // of all hosts, waiting or running, less the one that carries it
    double utilization_ = 0; // 0 to 1 of its slots
    bool draining_ = false;
    double slots_ = 0;    // requests it runs at once; 0: not told
    double slowdown_ = 1; // how long work takes there now; 1: as usual
};

// How one attempt ended, as far as routing cares.
enum class attempt_end : std::uint8_t {
    answered, // a complete answer that is no server error
    failed,   // a complete answer with a server error
    shed,     // refused by the target with proof that it did not run
    broken,   // the connection failed or closed early
    crashed,  // the target closed it and refuses new connections
    timeout,  // no answer within the deadline
    abandoned // cancelled by us: the caller left, or a hedge won
};

// In words, for logs and metrics.
constexpr std::string_view to_string(attempt_end end)
{
    constexpr std::array<std::string_view, 7> names{"answered", "failed",  "shed",     "broken",
                                                    "crashed",  "timeout", "abandoned"};
    return names[static_cast<std::size_t>(end)];
}

// The end of one attempt. `latency_` runs from the sending to the end of the header.
struct attempt_report {
    target_index target_ = 0;
    attempt_end end_ = attempt_end::answered;
    duration latency_{};
    std::optional<load_report> load_;
};

} // namespace savoryscale::routing
