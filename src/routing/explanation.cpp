#include "routing/explanation.hpp"

#include "routing/expected_wait.hpp"
#include "routing/service_view.hpp"

#include <algorithm>

namespace savoryscale::routing {

namespace {

// The order of the reasons is that in which the send path finds them.
std::string_view reason_against(const target_state& target, bool is_eligible, time_point now)
{
    if (is_eligible) {
        return target.ejected_until_ > now ? "ejected for its failures, and used as a last resort"
                                           : "";
    }
    if (target.info_.leaving_) {
        return "leaving";
    }
    return target.drain_reported_at_ ? "it says that it drains"
                                     : "not among the targets that this host uses";
}

} // namespace

std::vector<explained_target> explain_targets(const service_view& view, time_point now)
{
    const std::vector<target_index> eligible = eligible_targets(view, {});
    std::vector<explained_target> all;
    for (target_index index = 0; index < view.targets_.size(); ++index) {
        const target_state& target = view.targets_[index];
        if (!target.listed_) {
            continue;
        }
        explained_target each;
        each.target_ = index;
        each.why_not_ = reason_against(
            target, std::binary_search(eligible.begin(), eligible.end(), index), now);
        each.own_in_flight_ = target.in_flight_;
        if (target.load_) {
            each.reported_in_flight_ = target.load_->requests_in_flight_;
            each.report_age_ = now - target.load_->at_;
        }
        if (target.latency_ns_ > 0) {
            each.usual_latency_ = duration{static_cast<std::int64_t>(target.latency_ns_)};
        }
        if (target.limit_) {
            each.limit_per_second_ = target.limit_->per_second_;
        }
        all.push_back(each);
    }
    std::stable_partition(all.begin(), all.end(),
                          [](const auto& each) { return each.why_not_.empty(); });
    const auto usable_end = std::find_if(all.begin(), all.end(),
                                         [](const auto& each) { return !each.why_not_.empty(); });
    const auto expected =
        std::min_element(all.begin(), usable_end, [&](const auto& one, const auto& other) {
            return expected_wait(view, view.targets_[one.target_], now) <
                   expected_wait(view, view.targets_[other.target_], now);
        });
    if (expected != usable_end) {
        expected->is_expected_ = true;
    }
    return all;
}

} // namespace savoryscale::routing
