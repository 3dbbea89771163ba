#pragma once

// From which time on a starting host may rely on the answers of its peers. A peer that is itself
// starting may have passed on, and then lost, the version that this host served before. So the host
// fact of a starting peer invalidates the earlier answers of all peers (spec/configuration.pml,
// variant KEEP_OLD_ANSWERS).

#include "base/clock.hpp"
#include "peer/fact.hpp"
#include "peer/host_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace savoryscale::membership {

// Answers are invalidated only within this time after the start, so that peers that crash again
// and again cannot prevent a host from becoming ready.
inline constexpr duration invalidation_window = std::chrono::seconds{10};

struct start_answers {
    time_point started_;
    time_point valid_from_;                               // earlier answers are invalid
    std::map<std::string, std::uint64_t> starting_peers_; // start time of each starting peer, by id
};

// The state of a host that starts at `now`.
start_answers make_start_answers(time_point now);

// A peer's host fact was learned, with `state` as its payload. Returns whether it invalidates the
// answers so far. Each start of a peer does so only once, since what that peer sent or received
// after its start is not lost by it.
bool on_peer_state(start_answers& answers, const peer::fact& host_fact,
                   const peer::host_state& state, time_point now);

} // namespace savoryscale::membership
