#pragma once

// Histogram of durations in logarithmic buckets, with a relative error of about 1.6% at most.

#include <cstdint>
#include <vector>

namespace savoryscale::standins {

class histogram {
public:
    void add(std::uint64_t microseconds);

    std::uint64_t count() const { return count_; }
    std::uint64_t max() const { return max_; }

    // The quantile in microseconds (`quantile` is a fraction from 0 to 1), rounded up to the end of
    // its bucket but never above max(). 0 if nothing was added.
    std::uint64_t at(double quantile) const;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    std::uint64_t max_ = 0;
};

} // namespace savoryscale::standins
