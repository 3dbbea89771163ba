#pragma once

// The era of a store: a number that its answers carry, and that changes when the store has come
// back from an older copy. Revisions are comparable only within one era.

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::directory {

// Reads an era; none when the text is not a whole number above 0.
std::optional<std::uint64_t> read_store_era(std::string_view text);

// A place in the history of the store.
struct store_position {
    std::uint64_t era_ = 0;      // 0: not known
    std::uint64_t revision_ = 0; // 0: none

    friend bool operator==(const store_position&, const store_position&) = default;
};

struct store_era {
    std::uint64_t value_ = 0; // 0: no answer has named one
    time_point heard_at_{};   // when an answer first named it
};

enum class era_change : std::uint8_t {
    none,    // the era known, or the answer names none
    changed, // another era
    outdated // of an era that has ended: the call began before the current one was heard
};

// An answer named this era; none: it named none. `began`: when its call was sent.
era_change on_era_heard(store_era&, std::optional<std::uint64_t> named, time_point began,
                        time_point now);

} // namespace savoryscale::directory
