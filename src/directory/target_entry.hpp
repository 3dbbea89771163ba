#pragma once

// The data that a target registers about itself.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::directory {

struct target_entry {
    std::string id_;
    std::string service_;
    settings::endpoint address_;
    std::string data_centre_;
    std::uint32_t slots_ = 2;   // requests that it runs concurrently
    bool leaving_ = false;      // takes no new requests
    duration warm_up_{};        // remaining time of slow operation after its start
    std::uint64_t born_ms_ = 0; // start time since the Unix epoch; 0: not reported

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

// Whether the text can be the id of a target. Ids are sent to targets as the value of a field, so
// they hold no control characters and neither begin nor end with a blank.
bool is_target_id(std::string_view text);

// Whether all hosts can use the entry: its id is valid, and its names fit into pages of the feed.
bool is_valid(const target_entry& entry);

} // namespace savoryscale::directory
