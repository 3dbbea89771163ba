#pragma once

// From when on what the peers tell counts for a host that starts. A peer that itself starts may
// have passed on, and forgotten, what this host served before; so its word voids what the others
// told earlier (spec/configuration.pml, variant KEEP_OLD_ANSWERS).

#include "base/clock.hpp"
#include "peer/fact.hpp"
#include "peer/host_state.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace savoryscale::membership {

// Answers are voided for this long after the start: peers that crash again and again must not keep
// a host from starting for ever.
inline constexpr duration void_limit = std::chrono::seconds{10};

struct start_answers {
    time_point started_;
    time_point valid_from_;                         // what was told before is void
    std::map<std::string, std::uint64_t> starting_; // start of each peer that is starting, by id
};

// Answers of a host that starts at `now`.
start_answers make_start_answers(time_point now);

// A peer's word was learned, with `state` as its payload. Returns whether it voids the answers so
// far: once for each start of a peer, since what that peer told or heard later is not lost by it.
bool on_peer_word(start_answers& answers, const peer::fact& word, const peer::host_state& state,
                  time_point now);

} // namespace savoryscale::membership
