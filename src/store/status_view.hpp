#pragma once

// Computes, for operators, which hosts hold the accepted lists, from the host list and the status
// records. A host counts as holding them only if a recent record says so.

#include "store/host_list.hpp"
#include "store/status_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::store {

// The state of one entry host. behind_reason_ is empty if it holds the accepted version.
struct host_version_status {
    std::string id_;
    std::string data_centre_;
    std::uint64_t held_version_ = 0; // as last reported; 0 if never reported
    std::string behind_reason_;
};

struct status_view {
    std::uint64_t accepted_version_ = 0; // 0 if no lists have been applied yet
    bool all_hold_ = false;
    std::vector<host_version_status> hosts_; // sorted by data centre and id
};

// Covers every entry host in the host list that is not leaving, and every host that only a recent
// record names. `now_ms` is the wall clock, since the Unix epoch.
status_view make_status_view(std::uint64_t accepted_version, const std::vector<listed_host>& hosts,
                             const std::vector<status_record>& records, std::int64_t now_ms);

} // namespace savoryscale::store
