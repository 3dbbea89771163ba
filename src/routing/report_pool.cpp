#include "routing/report_pool.hpp"

#include <algorithm>

namespace savoryscale::routing {

namespace {

constexpr std::size_t reports_max = 16;
constexpr duration age_max = std::chrono::seconds{1};
constexpr std::uint32_t uses_max = 2;
constexpr double hot_quantile = 0.84;
constexpr std::uint32_t halve_after = 1024;

void count(report_pool& pool, double requests_in_flight)
{
    const double bounded = std::clamp(requests_in_flight, 0.0, in_flight_counts - 1.0);
    ++pool.seen_[static_cast<std::size_t>(bounded)];
    if (++pool.seen_total_ < halve_after) {
        return;
    }
    pool.seen_total_ = 0;
    for (auto& seen : pool.seen_) {
        seen /= 2;
        pool.seen_total_ += seen;
    }
}

} // namespace

void add(report_pool& pool, const pooled_report& report)
{
    count(pool, report.requests_in_flight_);
    std::erase_if(pool.reports_, [&](const auto& old) { return old.target_ == report.target_; });
    if (pool.reports_.size() == reports_max) {
        pool.reports_.erase(pool.reports_.begin());
    }
    pool.reports_.push_back(report);
}

void evict_stale(report_pool& pool, time_point now)
{
    std::erase_if(pool.reports_, [now](const auto& report) {
        return report.uses_ >= uses_max || now - report.received_at_ > age_max;
    });
}

double hot_limit(const report_pool& pool)
{
    const double wanted = hot_quantile * pool.seen_total_;
    double seen = 0;
    for (std::size_t in_flight = 0; in_flight < pool.seen_.size(); ++in_flight) {
        seen += pool.seen_[in_flight];
        if (seen >= wanted) {
            return static_cast<double>(in_flight);
        }
    }
    return in_flight_counts;
}

} // namespace savoryscale::routing
