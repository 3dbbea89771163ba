#pragma once

// Counts of durations in logarithmic buckets, exact to about 1.6% at any size.

#include <cstdint>
#include <vector>

namespace savoryscale::standins {

class histogram {
public:
    void add(std::uint64_t microseconds);

    std::uint64_t count() const { return count_; }
    std::uint64_t max() const { return max_; }

    // The value in microseconds that the fraction `quantile` of all values does not exceed, rounded
    // up to its bucket's end but never above max(). 0 if nothing was added.
    std::uint64_t at(double quantile) const;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::uint64_t max_ = 0;
};

} // namespace savoryscale::standins
