#pragma once

// Limits the targets of a large service that one host uses, so that connections, probes and the
// cost of a choice do not grow with the service. Every target is used by the same number of hosts.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace savoryscale::routing {

inline constexpr std::size_t subset_targets =
    60; // targets of a service that one host uses, on average
inline constexpr std::size_t hosts_per_target = 3; // minimum number of hosts that use a target

// How many hosts use each target so that a host uses about subset_targets targets.
std::size_t hosts_for_each_target(std::size_t hosts, std::size_t targets);

// Rank of a target for a host, by hash; each host has its own order of targets.
std::uint64_t target_rank(std::string_view host, std::string_view target);

// Whether `own` is among the `count` hosts that use the target, by rendezvous hashing: when a host
// joins or leaves, only the targets that it uses are reassigned. True when `own` is not in `hosts`.
bool uses_target(std::string_view own, std::span<const std::string> hosts, std::string_view target,
                 std::size_t count);

} // namespace savoryscale::routing
