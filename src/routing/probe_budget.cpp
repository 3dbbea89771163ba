#include "routing/probe_budget.hpp"

#include <algorithm>

namespace savoryscale::routing {

namespace {

constexpr duration window = std::chrono::seconds{1};
constexpr std::uint32_t share_max = 100000; // probes per second; bounds the memory

void update_usable_share(probe_budget& budget, time_point now)
{
    if (budget.share_ <= budget.usable_) {
        budget.usable_ = budget.share_;
        budget.raised_at_.reset();
        return;
    }
    if (!budget.raised_at_) {
        budget.raised_at_ = now;
    }
    if (now - *budget.raised_at_ >= window) {
        budget.usable_ = budget.share_;
        budget.raised_at_.reset();
    }
}

} // namespace

void set_share(probe_budget& budget, double probes_per_second)
{
    const double bounded = std::clamp(probes_per_second, 0.0, static_cast<double>(share_max));
    const auto share = static_cast<std::uint32_t>(bounded);
    if (share > budget.share_) {
        budget.raised_at_.reset();
    }
    budget.share_ = share;
    budget.usable_ = std::min(budget.usable_, share);
}

bool take_probe(probe_budget& budget, time_point now)
{
    update_usable_share(budget, now);
    while (!budget.sent_.empty() && now - budget.sent_.front() >= window) {
        budget.sent_.pop_front();
    }
    if (budget.sent_.size() >= budget.usable_) {
        return false;
    }
    if (!budget.sent_.empty() && now - budget.sent_.back() < window / budget.usable_) {
        return false;
    }
    budget.sent_.push_back(now);
    return true;
}

} // namespace savoryscale::routing
