#pragma once

// Holds the probes of one host to its share: in no second are there more than the share allows.

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace savoryscale::routing {

// A new or raised share counts one second after it is first seen. What an earlier process of this
// host, or the host that gave the share away, sent before then has left every window by that time.
struct probe_budget {
    std::uint32_t share_ = 0;  // probes in a second, as set
    std::uint32_t usable_ = 0; // the part of it that counts already
    std::optional<time_point> raised_at_;
    std::deque<time_point> sent_; // within the last second, oldest first
};

// Sets the share, in probes a second. Fractions are cut, since each host holds to a whole number
// in each second; a share below one allows none.
void set_share(probe_budget&, double probes_per_second);

// Counts one probe at `now` when the share allows it. Probes are spread evenly over the second.
bool take_probe(probe_budget&, time_point now);

} // namespace savoryscale::routing
