#pragma once

// The known targets of each service, from the settings, the host list (which lags behind) and the
// drain facts of this host and its peers.
//
// A target that any source reports as leaving is treated as leaving at once. A target that is
// listed with a higher incarnation is a new server at the same address. For a target without
// incarnations a drain ends when its fact expires; the target then counts as new too.

#include "peer/fact.hpp"
#include "routing/target.hpp"
#include "settings/settings.hpp"
#include "store/host_list.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::membership {

// Lifetime of a drain fact. It is published again in the second half of its lifetime if the drain
// is still observed.
inline constexpr std::uint32_t drain_lifetime_s = 30;

struct known_target {
    settings::endpoint address_;
    std::string data_centre_;
    bool static_ = false; // configured in the settings
    bool listed_ = false;
    bool listed_leaving_ = false;
    std::uint64_t incarnation_ = 0;    // highest listed so far
    std::uint64_t expired_drains_ = 0; // drains that ended without a new incarnation
    std::uint64_t drain_version_ = 0;
    bool draining_ = false;
    time_point drain_published_{};
};

using service_targets = std::map<std::string, known_target>; // by "ip:port"

struct target_view {
    std::map<std::string, service_targets> services_;
    std::set<std::string> changed_; // services whose targets must be reported again
};

// A view of the targets configured in the settings.
target_view make_target_view(const std::vector<settings::service>& services);

// Applies a host list. An empty list is treated as an error of its source and ignored.
void on_host_list(target_view& view, const std::vector<store::listed_host>& hosts);

// A drain fact was learned or has expired.
void on_drain_fact(target_view& view, const peer::fact& drain);
void on_drain_expired(target_view& view, const peer::fact& drain);

// This host observed that a target is draining; `incarnation` comes from the target_info used for
// the request. Returns the fact to publish, unless it was published recently or the incarnation is
// outdated.
std::optional<peer::fact> on_drain_seen(target_view& view, const std::string& service,
                                        const settings::endpoint& address,
                                        std::uint64_t incarnation, time_point now);

// All targets of one service, sorted by address.
std::vector<routing::target_info> targets_of(const target_view& view, std::string_view service);

} // namespace savoryscale::membership
