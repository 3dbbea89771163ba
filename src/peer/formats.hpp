#pragma once

// What the messages between entry hosts can carry. Each addition gets the next number, so that a
// host knows what one of another release reads and passes on. A host that names no number is of a
// release before the first one.

#include <cstdint>

namespace savoryscale::peer {

using format_number = std::uint32_t;

inline constexpr format_number first_formats = 0;
// Feed pages name the emptied data centres. A request that is handed on names its organisation.
inline constexpr format_number organisation_formats = 1;

inline constexpr format_number own_formats = organisation_formats;

} // namespace savoryscale::peer
