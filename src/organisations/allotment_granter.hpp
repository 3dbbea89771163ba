#pragma once

// Counts the requests of all hosts that report to this one, and grants those of organisations that
// are near their limit.
//
// A granter disposes of the part of each allotment that belongs to the hosts that report to it: as
// many shares as there are such hosts, out of all hosts that are known. So granters that do not
// know of each other, and hosts that reach none, stay within the allotment together. What a
// granter has saved goes with the hosts that leave it, so that nothing is saved twice.

#include "base/clock.hpp"
#include "organisations/allotment.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace savoryscale::organisations {

struct allotment_account {
    allotment limit_;
    double tokens_ = 0;    // requests that may be granted now; negative: too many were let through
    double filled_at_ = 0; // of allotment_granter::share_seconds_
    double welcomed_at_ = 0; // of allotment_granter::welcomes_
};

struct reporting_host {
    time_point heard_at_{};
    bool is_present_ = true; // false: it may go on with its own part
};

struct allotment_granter {
    settings::allotment_bounds bounds_;
    std::unordered_map<name_hash, allotment_account> accounts_; // organisations with a limit
    std::unordered_set<name_hash> near_limit_; // may contain some that no longer are
    std::unordered_map<name_hash, reporting_host> hosts_;
    std::size_t present_ = 0;
    std::uint32_t hosts_told_ = 0; // by the hosts, the largest number lately
    time_point hosts_told_at_{};
    double share_seconds_ = 0; // the part of the hosts that was present, integrated over time
    double welcomes_ = 0;      // shares of the hosts that came from another granter
    time_point counted_at_{};
};

// Adopts the allotments of a desired state; accounts of the same organisations go on.
void set_allotments(allotment_granter&, std::span<const organisation> all, time_point now);

use_answer on_report(allotment_granter&, const use_report&, time_point now);

} // namespace savoryscale::organisations
