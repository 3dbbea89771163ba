#pragma once

// Limits the probes of one host to its share in every window of one second.

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace savoryscale::routing {

// A new or raised share takes effect one second after it is first used. By then the probes that an
// earlier process of this host, or the share's previous owner, sent are outside every window.
struct probe_budget {
    std::uint32_t share_ = 0;  // probes per second, as set
    std::uint32_t usable_ = 0; // the part of it that is in effect
    std::optional<time_point> raised_at_;
    std::deque<time_point> sent_; // within the last second, oldest first
};

// Sets the share, in probes per second. Fractions are dropped, since each host is limited to a
// whole number in each second; a share below one allows none.
void set_share(probe_budget&, double probes_per_second);

// Counts one probe at `now` when the share allows it. Probes are spread evenly over the second.
bool take_probe(probe_budget&, time_point now);

} // namespace savoryscale::routing
