#pragma once

// The state that an entry host publishes about itself: the payload of a fact of kind host.

#include "settings/settings.hpp"

#include <cstdint>
#include <string>

namespace savoryscale::peer {

// The version of a host's state is its start time in seconds followed by a counter of this many
// bits.
inline constexpr unsigned host_counter_bits = 20;

struct host_state {
    std::string data_centre_;
    std::string region_;
    settings::endpoint address_;      // at which peers reach the host
    std::string public_key_;          // CURVE, Z85
    std::uint64_t lists_version_ = 0; // of the lists in force on the host; 0: none
    bool ready_ = false;
    bool leaving_ = false;
    bool watching_ = false;   // holds a watcher's lease
    bool store_lost_ = false; // its last call to the object API failed

    friend bool operator==(const host_state&, const host_state&) = default;
};

} // namespace savoryscale::peer
