#pragma once

// The entry hosts that are alive by their own word, and what follows from that: the links this host
// holds, and whether it is to contend for a watcher's lease. Every host decides by the same rules
// from nearly the same facts, so no agreement is needed; where views differ for a while there is a
// link or a contender too many.

#include "base/random.hpp"
#include "peer/fact.hpp"
#include "peer/host_state.hpp"
#include "peer/peer_task.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryscale::membership {

// Watchers' leases of each data centre, and hosts that stand by to take one over.
inline constexpr std::size_t watchers_per_data_centre = 2;
inline constexpr std::size_t standbys_per_data_centre = 2;

// Hosts of each data centre that hold links to other data centres.
inline constexpr std::size_t bridges_per_data_centre = 2;

struct host_view {
    std::string self_;
    std::map<std::string, peer::host_state> hosts_; // by id; this one included
};

// A host's word was learned or has expired. Returns false when its payload does not parse.
bool on_host_fact(host_view& view, const peer::fact& word);
void on_host_expired(host_view& view, const peer::fact& word);

// Whether this host is among the few that may hold or take over a watcher's lease of its data
// centre. Holders come first, then hosts that have not lost the object API, each by a hash.
bool is_watch_contender(const host_view& view);

// Links to hold: some hosts of the own data centre, chosen so that any two are few links apart, and
// for a bridge one host in each other data centre of the region and one in each other region.
std::vector<peer::peer_address> choose_links(const host_view& view);

} // namespace savoryscale::membership
