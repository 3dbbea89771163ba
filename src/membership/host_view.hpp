#pragma once

// The live entry hosts, as known from their own host facts, and the decisions based on them: which
// peer links this host opens, and whether it contends for a watcher's lease. All hosts apply the
// same rules to nearly the same facts, so no consensus is needed; while views differ there may be
// extra links or contenders.

#include "base/random.hpp"
#include "peer/fact.hpp"
#include "peer/host_state.hpp"
#include "peer/peer_task.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryscale::membership {

// Per data centre: watcher leases, and standby hosts that can take one over.
inline constexpr std::size_t watchers_per_data_centre = 2;
inline constexpr std::size_t standbys_per_data_centre = 2;

// Per data centre: hosts that hold links to other data centres.
inline constexpr std::size_t bridges_per_data_centre = 2;

struct host_view {
    std::string self_;
    std::map<std::string, peer::host_state> hosts_; // by id, including this host
};

// A host fact was learned or has expired. Returns false when its payload does not parse.
bool on_host_fact(host_view& view, const peer::fact& host_fact);
void on_host_expired(host_view& view, const peer::fact& host_fact);

// Whether this host is among the few that may hold or take over a watcher's lease of its data
// centre. Lease holders rank first, then hosts that can reach the object API, then the others;
// hosts of equal rank are ordered by a hash of their id.
bool is_watch_contender(const host_view& view);

// The links this host should hold: to some hosts of its own data centre, chosen so that any two are
// few links apart. A bridge also links to one host in each other data centre of its region and to
// one host in each other region.
std::vector<peer::peer_address> choose_links(const host_view& view);

} // namespace savoryscale::membership
