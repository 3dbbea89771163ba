#pragma once

// Compares what callers were told with what the stand-in upstreams counted.

#include "common/counters.hpp"
#include "common/load_run.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace savoryscale::standins {

// Breaches of the promises; each must be 0.
struct verdict {
    std::uint64_t wrong_ = 0;           // bodies that were not the caller's own, or surplus bytes
    std::uint64_t twice_ = 0;           // commits that entered a slot more than once
    std::uint64_t false_not_run_ = 0;   // commits run more often than answers left room for
    std::uint64_t never_ran_ = 0;       // commits answered as done that were not
    std::vector<std::string> examples_; // a few of the commit ids above

    std::uint64_t breaches() const { return wrong_ + twice_ + false_not_run_ + never_ran_; }
};

verdict judge(const load_totals& totals,
              const std::unordered_map<std::string, commit_count>& counted);

} // namespace savoryscale::standins
