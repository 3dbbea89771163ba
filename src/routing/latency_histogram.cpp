#include "routing/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr std::uint32_t halve_after = 4096;
constexpr std::uint32_t total_min = 200;
constexpr double buckets_per_octave = 4;
constexpr double smallest_ns = 1000;

std::size_t bucket_of(duration latency)
{
    const double ratio =
        static_cast<double>(std::max<duration::rep>(latency.count(), 1)) / smallest_ns;
    const double position = std::ceil(std::log2(std::max(ratio, 1.0)) * buckets_per_octave);
    return std::min(static_cast<std::size_t>(position), latency_histogram::bucket_count - 1);
}

duration upper_bound_of(std::size_t bucket)
{
    const double ns = smallest_ns * std::exp2(static_cast<double>(bucket) / buckets_per_octave);
    return duration{static_cast<duration::rep>(ns)};
}

void halve(latency_histogram& histogram)
{
    histogram.total_ = 0;
    for (auto& count : histogram.counts_) {
        count /= 2;
        histogram.total_ += count;
    }
    histogram.since_halving_ = 0;
}

} // namespace

void add(latency_histogram& histogram, duration latency)
{
    ++histogram.counts_[bucket_of(latency)];
    ++histogram.total_;
    if (++histogram.since_halving_ == halve_after) {
        halve(histogram);
    }
}

std::optional<duration> quantile(const latency_histogram& histogram, double fraction)
{
    if (histogram.total_ < total_min) {
        return std::nullopt;
    }
    const double wanted = fraction * histogram.total_;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts_.size(); ++bucket) {
        seen += histogram.counts_[bucket];
        if (seen >= wanted) {
            return upper_bound_of(bucket);
        }
    }
    return upper_bound_of(histogram.counts_.size() - 1);
}

} // namespace savoryscale::routing
