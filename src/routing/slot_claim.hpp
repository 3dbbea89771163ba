#pragma once

// Which of the probed targets an attempt may be placed at, by what its caller may claim. While room
// is short, the targets that can answer within the objective are kept for the callers whose
// objective has not passed; the others take idle and slowed ones.

#include "routing/placement.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savoryscale::routing {

enum class slot_claim : std::uint8_t {
    any,       // also behind other requests
    in_time,   // one that answers within the objective, or else what is left over
    free_slot, // one that need not be waited for
    left_over, // an idle one, or one that is too slow for others
};

// What the claim allows, in order of preference: the first that finds a target is used.
// `objective_left`: until the caller's objective; none: it has none, or it has passed.
// `objective`: of a caller's first try.
std::vector<placement_options> options_for(slot_claim, std::optional<duration> objective_left,
                                           duration objective);

// Rounds of probes that a search may take.
std::size_t rounds_max(slot_claim);

} // namespace savoryscale::routing
