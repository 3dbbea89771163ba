#pragma once

// What a target has registered about itself.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <string>

namespace savoryscale::directory {

struct target_entry {
    std::string id_;
    std::string service_;
    settings::endpoint address_;
    std::string data_centre_;
    std::uint32_t slots_ = 2;   // requests that it runs at once
    bool leaving_ = false;      // takes no new requests
    duration warm_up_{};        // how much longer it is slow after its start
    std::uint64_t born_ms_ = 0; // wall clock of its start, since the epoch; 0: not told

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace savoryscale::directory
