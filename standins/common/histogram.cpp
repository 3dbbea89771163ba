#include "common/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace savoryscale::standins {

namespace {

// Values below this number have a bucket each.
constexpr std::uint64_t buckets_per_doubling = 64;
constexpr int step_bits = 6;

std::size_t bucket_of(std::uint64_t value)
{
    if (value < buckets_per_doubling) {
        return value;
    }
    const int shift = static_cast<int>(std::bit_width(value)) - step_bits - 1;
    return static_cast<std::size_t>(shift) * buckets_per_doubling + (value >> shift);
}

// The largest value that falls into the bucket.
std::uint64_t bucket_end(std::size_t bucket)
{
    if (bucket < 2 * buckets_per_doubling) {
        return bucket;
    }
    const std::size_t shift = bucket / buckets_per_doubling - 1;
    const std::uint64_t step = bucket - shift * buckets_per_doubling;
    return ((step + 1) << shift) - 1;
}

} // namespace

void histogram::add(std::uint64_t microseconds)
{
    const std::size_t bucket = bucket_of(microseconds);
    if (bucket >= buckets_.size()) {
        buckets_.resize(bucket + 1);
    }
    ++buckets_[bucket];
    ++count_;
    max_ = std::max(max_, microseconds);
}

std::uint64_t histogram::at(double quantile) const
{
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        seen += buckets_[bucket];
        if (seen >= rank) {
            return std::min(bucket_end(bucket), max_);
        }
    }
    return max_;
}

} // namespace savoryscale::standins
