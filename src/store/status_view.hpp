#pragma once

// What operators are told about who holds the accepted lists, worked out from the host list and the
// status records. A host counts as holding them only when a fresh record says so.

#include "store/host_list.hpp"
#include "store/status_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::store {

// One entry host. behind_reason_ is empty when it holds the accepted version.
struct host_standing {
    std::string id_;
    std::string data_centre_;
    std::uint64_t held_version_ = 0; // as last reported; 0: never
    std::string behind_reason_;
};

struct status_view {
    std::uint64_t accepted_version_ = 0; // 0: no lists were applied yet
    bool all_hold_ = false;
    std::vector<host_standing> hosts_; // sorted by data centre and id
};

// Judges every entry host that the host list names, but for leaving ones, and every host that a
// fresh record names beside them. `now_ms` is wall clock, since the epoch.
status_view judge_status(std::uint64_t accepted_version, const std::vector<listed_host>& hosts,
                         const std::vector<status_record>& records, std::int64_t now_ms);

} // namespace savoryscale::store
