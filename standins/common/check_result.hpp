#pragma once

// Compares the answers that callers received with the counters of the stand-in upstreams.

#include "common/counters.hpp"
#include "common/load_run.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace savoryscale::standins {

// Violations of the guarantees to callers; each count must be 0.
struct check_result {
    std::uint64_t wrong_ = 0; // answers with another body than the correct one, or surplus bytes
    std::uint64_t twice_ = 0; // commits that were started more than once
    std::uint64_t false_not_run_ = 0; // commits started more often than their not-run answers allow
    std::uint64_t never_ran_ = 0;     // commits that were answered as run but never ran
    std::vector<std::string> examples_; // some ids of these commits

    std::uint64_t violations() const { return wrong_ + twice_ + false_not_run_ + never_ran_; }
};

check_result check_totals(const load_totals& totals,
                          const std::unordered_map<std::string, commit_count>& counted);

} // namespace savoryscale::standins
