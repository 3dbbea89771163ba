#include "organisations/allotment_use.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace savoryscale::organisations {

namespace {

using namespace std::chrono_literals;

// As many hosts are expected to lose all granters at once.
constexpr double alone_hosts = 0.5;

// A host asks again after a denial no sooner than this: callers that ignore denials cost less.
constexpr duration denial_min = 50ms;

// Decisions are remembered for this time, and callers come back within the time that the number of
// refused ones takes at the present rate, but not sooner nor later than this.
constexpr duration memory_time = 2s;
constexpr duration return_min = 1s;
constexpr duration return_max = 10s;

// Uses that are forgotten when their number reaches this.
constexpr std::size_t uses_max = 20'000;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

own_use& use_of(allotment_use& use, name_hash organisation)
{
    if (use.organisations_.size() >= uses_max) {
        std::erase_if(use.organisations_, [](const auto& each) {
            return each.second.unreported_ == 0 && each.second.sending_ == 0;
        });
    }
    return use.organisations_[organisation];
}

bool has_contact(const allotment_use& use, time_point now)
{
    return use.answered_at_ && now - *use.answered_at_ < contact_time;
}

double hosts_of(const allotment_use& use)
{
    return std::max(1U, use.hosts_ > 0 ? use.hosts_ : use.hosts_max_);
}

// What this host saves on its own.
double own_tokens_max(const allotment_use& use, const allotment& limit)
{
    const double spare = spare_of(limit, use.bounds_) * alone_part;
    // A host that has heard of no granter does not know whether the burst has just been used.
    const double burst = use.answered_at_ ? limit.burst_ : 0;
    return (burst + spare / alone_hosts) / hosts_of(use);
}

// The part of the allotment belongs to this host for `part_time`, later to those who have granters.
double own_tokens_between(const allotment_use& use, const allotment& limit, time_point from,
                          time_point to)
{
    const time_point end = *use.alone_since_ + part_time;
    const double first = std::max(0.0, seconds_of(std::min(to, end) - from));
    const double later = std::max(0.0, seconds_of(to - std::max(from, end)));
    const double spare_per_second =
        spare_of(limit, use.bounds_) * alone_part / use.bounds_.window_.count();
    return (first * limit.per_second_ + later * std::min(limit.per_second_, spare_per_second)) /
           hosts_of(use);
}

// Between two reports a host lets through unheard no more than its part of what is left at least
// while the limit is not near, of what may be too much, and of what has come since the last answer;
// but one request always.
bool is_beyond_part(const allotment_use& use, const own_use& own, const allotment& limit,
                    time_point now)
{
    const double spare = spare_of(limit, use.bounds_);
    const double left = near_limit_part * (limit.burst_ + saved_part * spare);
    const double come = seconds_of(now - *use.answered_at_) * limit.per_second_;
    const double part = (left + unheard_part * spare + come) / hosts_of(use);
    return own.unreported_ + own.sending_ > part;
}

} // namespace

use_decision decide(allotment_use& use, name_hash organisation, const allotment& limit,
                    bool may_ask, time_point now, random_source& random)
{
    if (limit.per_second_ <= 0) {
        return {};
    }
    own_use& own = use_of(use, organisation);
    if (has_contact(use, now)) {
        if (!use.all_near_limit_ && !own.is_near_limit_) {
            if (!is_beyond_part(use, own, limit, now)) {
                ++own.unreported_;
                return {};
            }
        }
        else if (own.denied_until_ > now) {
            return {use_verdict::refused, own.denied_until_ - now, use_decider::denied};
        }
    }
    return may_ask ? use_decision{use_verdict::ask}
                   : decide_alone(use, organisation, limit, now, random);
}

use_decision decide_alone(allotment_use& use, name_hash organisation, const allotment& limit,
                          time_point now, random_source& random)
{
    if (!use.alone_since_) {
        use.alone_since_ = now;
    }
    own_use& own = use_of(use, organisation);
    const double most = own_tokens_max(use, limit);
    if (own.own_filled_at_ < *use.alone_since_) {
        const bool is_saved_again = *use.alone_since_ - own.own_filled_at_ >= use.bounds_.window_;
        own.own_tokens_ = (is_saved_again ? most : own.own_tokens_) - std::max(0, own.unreported_);
        own.own_filled_at_ = *use.alone_since_;
    }
    own.own_tokens_ =
        std::min(most, own.own_tokens_ + own_tokens_between(use, limit, own.own_filled_at_, now));
    own.own_filled_at_ = now;
    if (own.own_tokens_ >= 1) {
        own.own_tokens_ -= 1;
        ++own.unreported_;
        return {};
    }
    // A part of a token is drawn for, so that many hosts with less than one each let through as
    // many requests as they have tokens together.
    const bool is_drawn = uniform_unit(random) < own.own_tokens_;
    own.own_tokens_ = std::min(own.own_tokens_, 0.0);
    if (is_drawn) {
        ++own.unreported_;
        return {};
    }
    return {use_verdict::refused, contact_time, use_decider::alone};
}

duration return_time(allotment_use& use, name_hash organisation, use_verdict verdict,
                     time_point now)
{
    own_use& own = use_of(use, organisation);
    const double kept = std::exp(-seconds_of(now - own.counted_at_) / seconds_of(memory_time));
    own.counted_at_ = now;
    own.passed_ = own.passed_ * kept + (verdict == use_verdict::passed ? 1 : 0);
    own.refused_ = own.refused_ * kept + (verdict == use_verdict::refused ? 1 : 0);
    const double seconds = seconds_of(memory_time) * own.refused_ / std::max(1.0, own.passed_);
    return std::clamp<duration>(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds}), return_min,
        return_max);
}

void give_back(allotment_use& use, name_hash organisation)
{
    --use_of(use, organisation).unreported_;
}

use_report take_report(allotment_use& use, name_hash host, bool is_first, time_point now)
{
    use_report report{host, 0, {}};
    if (is_first && use.answered_at_ && now - *use.answered_at_ < contact_time + part_time) {
        report.hosts_ = use.hosts_;
    }
    for (auto& [organisation, own] : use.organisations_) {
        if (own.unreported_ != 0 && report.uses_.size() < reported_organisations_max) {
            report.uses_.push_back({organisation, own.unreported_, 0});
            own.sending_ = std::exchange(own.unreported_, 0);
        }
    }
    return report;
}

void on_answer(allotment_use& use, const use_answer& answer, time_point now)
{
    use.answered_at_ = now;
    use.alone_since_.reset();
    use.hosts_ = answer.hosts_;
    use.all_near_limit_ = answer.all_near_limit_;
    for (auto& [organisation, own] : use.organisations_) {
        own.sending_ = 0;
        own.is_near_limit_ = false;
    }
    for (const use_grant& each : answer.near_limit_) {
        own_use& own = use_of(use, each.organisation_);
        own.is_near_limit_ = true;
        if (each.wait_ > duration::zero()) {
            own.denied_until_ = now + std::max(each.wait_, denial_min);
        }
    }
}

void on_no_answer(allotment_use& use)
{
    for (auto& [organisation, own] : use.organisations_) {
        own.unreported_ += std::exchange(own.sending_, 0);
    }
}

} // namespace savoryscale::organisations
