#pragma once

// Whether the store was away, or only this host was cut off from it. A span is a time during which
// the store confirmed directory data without an outage. Spans known from peers fill the gaps of
// this host's own: what the store no longer lists after a gap that no peer fills may have expired
// in an outage, while its target runs on.

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace savoryscale::directory {

// The store drops an entry after three missed reports of its target, the first of which may be due
// when a gap begins. A shorter gap makes no entry expire.
inline constexpr duration contact_gap_max = std::chrono::milliseconds{2500};

struct contact_span {
    time_point begun_{};
    time_point confirmed_at_{}; // its end so far
};

struct store_contact {
    std::optional<contact_span> current_; // none: the store has confirmed nothing yet
    std::optional<contact_span> before_;  // the span before a gap that a peer may still fill
};

enum class contact_change : std::uint8_t {
    none,
    regained, // after a gap
    filled,   // a peer was in contact during the gap: this host alone was cut off
};

// This host, or a peer, was in contact with the store during the span.
contact_change on_contact(store_contact&, const contact_span&);

// The store itself has lost data: the gap before the current span can no longer be filled.
void on_data_lost(store_contact&);

} // namespace savoryscale::directory
