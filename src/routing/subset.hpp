#pragma once

// Bounds the targets that one host uses of a large service, so that connections, probes and choices
// do not grow with the service. Every target is used by the same number of hosts.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace savoryscale::routing {

inline constexpr std::size_t subset_targets = 60;  // of a service that one host uses, on average
inline constexpr std::size_t hosts_per_target = 3; // that use a target, at least

// How many hosts use each target, so that a host uses about subset_targets of them.
std::size_t hosts_for_each_target(std::size_t hosts, std::size_t targets);

// Orders targets for one host; another host has another order.
std::uint64_t target_rank(std::string_view host, std::string_view target);

// Whether `own` is among the `count` hosts that use the target, by rendezvous hashing: a host that
// comes or goes moves only the targets it takes or leaves. True when `own` is not among `hosts`.
bool uses_target(std::string_view own, std::span<const std::string> hosts, std::string_view target,
                 std::size_t count);

} // namespace savoryscale::routing
