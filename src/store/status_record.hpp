#pragma once

// What the reporting host of a data centre writes to the object API: which version each entry host
// holds. Operators' `status` reads these records.

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::store {

// Keys are this prefix and the name of the data centre.
inline constexpr std::string_view status_prefix = "status/";

// A reporter writes at least this often, also when nothing changed, so that age shows silence.
inline constexpr std::chrono::milliseconds status_report_period{4000};

// A record older than this says nothing about what its hosts hold now.
inline constexpr std::chrono::milliseconds status_stale_after{15000};

// One entry host. behind_reason_ is empty when it holds the newest version that the reporter knows.
struct held_report {
    std::string id_;
    std::uint64_t held_version_ = 0;
    std::string behind_reason_;

    friend bool operator==(const held_report&, const held_report&) = default;
};

struct status_record {
    std::string data_centre_;
    std::string reporter_;        // id of the host that wrote it
    std::int64_t written_ms_ = 0; // reporter's wall clock, since the epoch
    std::vector<held_report> hosts_;

    friend bool operator==(const status_record&, const status_record&) = default;
};

// Key of the record of one data centre.
std::string status_key(std::string_view data_centre);

// JSON text of the record.
std::string print(const status_record& record);

// Parses JSON text; unknown fields are let pass, so that newer reporters can be read.
result<status_record> parse_status_record(std::string_view text);

} // namespace savoryscale::store
