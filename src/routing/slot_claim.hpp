#pragma once

// Which of the probed targets an attempt may be placed at, by what its caller may claim. While room
// is short, requests wait at a target only if they are expected to be answered within the
// objective; the others take free slots.

#include "routing/placement.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savoryscale::routing {

enum class slot_claim : std::uint8_t {
    any,       // also behind other requests
    in_time,   // one that answers within the objective, or else a free slot
    free_slot, // one that need not be waited for
};

// What the claim allows, in order of preference: the first that finds a target is used.
// `objective_left`: until the caller's objective; none: it has none, or it has passed.
std::vector<placement_options> options_for(slot_claim, std::optional<duration> objective_left);

// Rounds of probes that a search may take.
std::size_t rounds_max(slot_claim);

} // namespace savoryscale::routing
