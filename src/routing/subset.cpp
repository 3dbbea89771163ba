#include "routing/subset.hpp"

#include <xxhash.h>

#include <algorithm>

namespace savoryscale::routing {

std::uint64_t target_rank(std::string_view host, std::string_view target)
{
    return XXH64(host.data(), host.size(), XXH64(target.data(), target.size(), 0));
}

std::size_t hosts_for_each_target(std::size_t hosts, std::size_t targets)
{
    if (targets <= subset_targets) {
        return hosts;
    }
    const std::size_t needed = (subset_targets * hosts + targets - 1) / targets;
    return std::min(hosts, std::max(needed, hosts_per_target));
}

bool uses_target(std::string_view own, std::span<const std::string> hosts, std::string_view target,
                 std::size_t count)
{
    if (count >= hosts.size() || std::find(hosts.begin(), hosts.end(), own) == hosts.end()) {
        return true;
    }
    const std::uint64_t own_rank = target_rank(own, target);
    const auto is_before = [&](const std::string& host) {
        return target_rank(host, target) > own_rank;
    };
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), is_before)) < count;
}

} // namespace savoryscale::routing
