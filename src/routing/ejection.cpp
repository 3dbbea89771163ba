#include "routing/ejection.hpp"

#include "routing/service_view.hpp"

#include <algorithm>
#include <cmath>

namespace savoryscale::routing {

namespace {

constexpr double outcome_weight = 0.2;
constexpr double mean_outcome_weight = 0.01;
constexpr std::uint32_t outcomes_min = 5;
constexpr double failures_to_eject = 0.5;     // of the target's recent attempts
constexpr double failures_over_others = 0.25; // more than the service's mean
constexpr duration ejection_first = std::chrono::seconds{1};
constexpr duration unanswered_ejection = std::chrono::milliseconds{500};
constexpr std::uint32_t doublings_max = 5;
constexpr std::uint32_t successes_to_forget = 20;
constexpr double failure_fade_ns = 1e9;

void eject(target_state& target, time_point now)
{
    target.ejected_until_ = now + ejection_first * (1U << target.ejections_);
    target.ejections_ = std::min(target.ejections_ + 1, doublings_max);
    target.on_trial_ = true;
    target.outcomes_ = 0;
}

void count_success(target_state& target)
{
    if (target.on_trial_) {
        target.failure_ratio_ /= 2;
        target.on_trial_ = false;
    }
    if (target.outcomes_ >= successes_to_forget && target.failure_ratio_ < failures_to_eject) {
        target.ejections_ = 0;
    }
}

bool stands_out(const service_view& view, const target_state& target)
{
    return target.failure_ratio_ > failures_to_eject &&
           target.failure_ratio_ > view.mean_failure_ratio_ + failures_over_others;
}

} // namespace

void count_outcome(service_view& view, target_state& target, attempt_end end, time_point now)
{
    if (end == attempt_end::abandoned || end == attempt_end::shed) {
        return;
    }
    const bool success = end == attempt_end::answered;
    const double failure = success ? 0 : 1;
    target.failure_ratio_ += outcome_weight * (failure - target.failure_ratio_);
    target.outcome_at_ = now;
    ++target.outcomes_;
    view.mean_failure_ratio_ += mean_outcome_weight * (failure - view.mean_failure_ratio_);
    if (success) {
        return count_success(target);
    }
    const bool known = target.on_trial_ || target.outcomes_ >= outcomes_min;
    const bool already_ejected = now < target.ejected_until_;
    if (already_ejected) {
        return;
    }
    if (end == attempt_end::crashed || (known && stands_out(view, target))) {
        eject(target, now);
    }
}

void eject_unanswering(target_state& target, time_point now)
{
    target.ejected_until_ = std::max(target.ejected_until_, now + unanswered_ejection);
}

bool is_in_use(const target_state& target, time_point now)
{
    return now >= target.ejected_until_ && !(target.on_trial_ && target.in_flight_ > 0);
}

void drop_ejected(const service_view& view, std::vector<target_index>& eligible, time_point now)
{
    const auto in_use = [&](target_index index) { return is_in_use(view.targets_[index], now); };
    const auto left =
        static_cast<std::size_t>(std::count_if(eligible.begin(), eligible.end(), in_use));
    if (2 * left >= eligible.size()) {
        std::erase_if(eligible, [&](target_index index) { return !in_use(index); });
    }
}

double failures_above_mean(const service_view& view, const target_state& target, time_point now)
{
    const double above = std::max(0.0, target.failure_ratio_ - view.mean_failure_ratio_);
    const auto age = static_cast<double>((now - target.outcome_at_).count());
    return above * std::exp(-age / failure_fade_ns);
}

} // namespace savoryscale::routing
