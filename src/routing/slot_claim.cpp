#include "routing/slot_claim.hpp"

namespace savoryscale::routing {

namespace {

// The probes that a late caller's search saves serve those who can still be answered in time.
constexpr std::size_t late_rounds_max = 1;

} // namespace

std::vector<placement_options> options_for(slot_claim claim, std::optional<duration> objective_left)
{
    placement_options in_time;
    in_time.expected_max_ = objective_left;
    placement_options free_slot;
    free_slot.may_wait_ = false;
    switch (claim) {
    case slot_claim::in_time:
        return {in_time, free_slot};
    case slot_claim::free_slot:
        return {free_slot};
    default:
        return {placement_options{}};
    }
}

std::size_t rounds_max(slot_claim claim)
{
    return claim == slot_claim::free_slot ? late_rounds_max : placement_options{}.rounds_max_;
}

} // namespace savoryscale::routing
