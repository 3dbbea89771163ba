#pragma once

// What is known of each service's targets, from the settings, the lagging host list, and the word
// of this host and its peers that a target drains.
//
// A target that leaves by any source leaves at once. One that is listed with a higher incarnation
// is a new server at the address. A drain of a target without incarnations ends with the fact's
// lifetime, after which the target counts as new too.

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

// A drain is told for this long, and told again in the second half while it is still seen.
inline constexpr std::uint32_t drain_lifetime_s = 30;

struct known_target {
    settings::endpoint address_;
    std::string data_centre_;
    bool static_ = false; // named in the settings
    bool listed_ = false;
    bool listed_leaving_ = false;
    std::uint64_t incarnation_ = 0; // highest that was listed
    std::uint64_t returns_ = 0;     // drains that ended without a new incarnation
    std::uint64_t drain_version_ = 0;
    bool draining_ = false;
    time_point drain_told_{};
};

using service_targets = std::map<std::string, known_target>; // by "ip:port"

struct target_view {
    std::map<std::string, service_targets> services_;
    std::set<std::string> changed_; // services to be told anew
};

// A view of the targets that the settings name.
target_view make_target_view(const std::vector<settings::service>& services);

// A host list was read. An empty one is taken for a fault of the list, and what is known stays.
void on_host_list(target_view& view, const std::vector<store::listed_host>& hosts);

// A drain fact was learned, or its lifetime has passed.
void on_drain_fact(target_view& view, const peer::fact& drain);
void on_drain_expired(target_view& view, const peer::fact& drain);

// This host saw a target drain; `incarnation` is that of the target_info it was given. Returns the
// fact to tell, unless it was told a moment ago or speaks of an earlier incarnation.
std::optional<peer::fact> on_drain_seen(target_view& view, const std::string& service,
                                        const settings::endpoint& address,
                                        std::uint64_t incarnation, time_point now);

// All targets of one service, sorted by address.
std::vector<routing::target_info> targets_of(const target_view& view, std::string_view service);

} // namespace savoryscale::membership
