#pragma once

// The data centres that are to be emptied, as one host knows them, and how far its list can be
// relied on. A list is only ever replaced by one that the store has confirmed later.

#include "base/clock.hpp"
#include "directory/source.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::directory {

struct emptied_data_centres;
struct follow_update;

struct emptied_list {
    std::vector<std::string> names_; // sorted
    std::uint64_t revision_ = 0;     // store revision up to which they are known
    time_point confirmed_at_{};      // when the store last confirmed them
};

// The list after an update from the store; none: `known` stays, as the update is older. `revision`:
// of the store, up to which the update is complete. Each object counts by its name alone.
std::optional<emptied_list> list_after_update(const std::optional<emptied_list>& known,
                                              const follow_update&, std::uint64_t revision,
                                              time_point now);

// The list after a page of a peer; none: `known` stays, as the page has an older list or none.
std::optional<emptied_list> list_after_page(const std::optional<emptied_list>& known,
                                            const std::optional<emptied_data_centres>& named,
                                            time_point now);

// Where this host gets the list from: `targets`, the source of its other data, with an age of its
// own, so that a list that no peer keeps up is followed in the store. `bound`: time in which a data
// centre is to be emptied. See source.hpp.
struct emptied_source {
    std::optional<time_point> store_as_of_;
    std::optional<time_point> peer_as_of_;
};
source_state source_of(const emptied_source&, const source_state& targets, duration bound);

} // namespace savoryscale::directory
