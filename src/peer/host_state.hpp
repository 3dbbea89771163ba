#pragma once

// What an entry host says about itself, as the payload of a fact of kind host.

#include "settings/settings.hpp"

#include <cstdint>
#include <string>

namespace savoryscale::peer {

// The version of a host's word is the second of its start, and a counter of this many bits.
inline constexpr unsigned host_counter_bits = 20;

struct host_state {
    std::string data_centre_;
    std::string region_;
    settings::endpoint address_;      // where its peers reach it
    std::string public_key_;          // CURVE, Z85
    std::uint64_t lists_version_ = 0; // in force there; 0: none
    bool ready_ = false;
    bool leaving_ = false;
    bool watching_ = false;   // holds a watcher's lease
    bool store_lost_ = false; // its last call to the object API failed

    friend bool operator==(const host_state&, const host_state&) = default;
};

} // namespace savoryscale::peer
