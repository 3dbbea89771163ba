#pragma once

// The record that a data centre's reporting host writes to the object API: which version of the
// configuration each entry host holds. The operators' `status` command reads these records.

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::store {

// The key of a record is this prefix followed by the name of the data centre.
inline constexpr std::string_view status_prefix = "status/";

// A reporter writes at least this often, even without a change, so that an old record shows that
// the reporter has stopped.
inline constexpr std::chrono::milliseconds status_report_period{4000};

// A record older than this does not show what its hosts hold now.
inline constexpr std::chrono::milliseconds status_stale_after{15000};

// The report on one entry host. behind_reason_ is empty if the host holds the newest version that
// the reporter knows.
struct host_version_report {
    std::string id_;
    std::uint64_t held_version_ = 0;
    std::string behind_reason_;

    friend bool operator==(const host_version_report&, const host_version_report&) = default;
};

struct status_record {
    std::string data_centre_;
    std::string reporter_;        // id of the host that wrote the record
    std::int64_t written_ms_ = 0; // the reporter's wall clock, since the Unix epoch
    std::vector<host_version_report> hosts_;

    friend bool operator==(const status_record&, const status_record&) = default;
};

// Returns the key of a data centre's record.
std::string status_key(std::string_view data_centre);

// Formats the record as JSON.
std::string print(const status_record& record);

// Parses a record from JSON. Ignores unknown fields, so that records of newer releases can be read.
result<status_record> parse_status_record(std::string_view text);

} // namespace savoryscale::store
