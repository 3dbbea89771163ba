#include "organisations/allotment_granter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace savoryscale::organisations {

namespace {

using namespace std::chrono_literals;

// Hosts ask again after at most this time, so that they notice a raised limit.
constexpr duration wait_max = 1s;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double share_of(const allotment_granter& granter, time_point now)
{
    const bool is_told = now - granter.hosts_told_at_ < contact_time + part_time;
    const std::size_t all =
        std::max<std::size_t>(granter.hosts_.size(), is_told ? granter.hosts_told_ : 0);
    return all == 0 ? 0 : static_cast<double>(granter.present_) / static_cast<double>(all);
}

// What is saved for all hosts together.
double saved_of(const allotment_granter& granter, const allotment& limit)
{
    return limit.burst_ + saved_part * spare_of(limit, granter.bounds_);
}

double saved_max(const allotment_granter& granter, const allotment& limit, double share)
{
    return std::max(1.0, share * saved_of(granter, limit));
}

void fill(allotment_granter& granter, name_hash name, allotment_account& account, double share)
{
    const double spare = spare_of(account.limit_, granter.bounds_);
    account.tokens_ += (granter.share_seconds_ - account.filled_at_) * account.limit_.per_second_ +
                       (granter.welcomes_ - account.welcomed_at_) * spare * welcome_part;
    account.filled_at_ = granter.share_seconds_;
    account.welcomed_at_ = granter.welcomes_;
    const double most = saved_max(granter, account.limit_, share);
    // What hosts on their own have let through too much is not held against more than one window.
    const double least = -account.limit_.per_second_ * granter.bounds_.window_.count();
    account.tokens_ = std::clamp(account.tokens_, least, most);
    if (account.tokens_ < most * near_limit_part) {
        granter.near_limit_.insert(name);
    }
    else {
        granter.near_limit_.erase(name);
    }
}

// Counts the time since the last report. More than `contact_time` without one means that this host
// was frozen: the others were not there any more. Hosts that have left take their part of what is
// saved along, also when it has been granted to others.
void count_time(allotment_granter& granter, time_point now)
{
    const duration passed = std::min<duration>(now - granter.counted_at_, contact_time);
    granter.share_seconds_ += std::max(0.0, seconds_of(passed)) * share_of(granter, now);
    granter.counted_at_ = now;
    const double share_before = share_of(granter, now);
    for (auto& [name, host] : granter.hosts_) {
        if (now - host.heard_at_ >= contact_time && std::exchange(host.is_present_, false)) {
            --granter.present_;
        }
    }
    const double share = share_of(granter, now);
    if (share < share_before) {
        for (auto& [name, account] : granter.accounts_) {
            fill(granter, name, account, share_before);
            account.tokens_ -= saved_of(granter, account.limit_) * (share_before - share);
            fill(granter, name, account, share);
        }
    }
    std::erase_if(granter.hosts_, [now](const auto& each) {
        return now - each.second.heard_at_ >= contact_time + part_time;
    });
}

void on_host_heard(allotment_granter& granter, const use_report& report, time_point now)
{
    const auto [host, is_new] = granter.hosts_.try_emplace(report.host_);
    if (is_new || !std::exchange(host->second.is_present_, true)) {
        ++granter.present_;
    }
    host->second.heard_at_ = now;
    const bool is_told = now - granter.hosts_told_at_ < contact_time + part_time;
    if (report.hosts_ > 0 && (!is_told || report.hosts_ >= granter.hosts_told_)) {
        granter.hosts_told_ = report.hosts_;
        granter.hosts_told_at_ = now;
    }
    if (is_new && report.hosts_ > 0) {
        granter.welcomes_ += share_of(granter, now) / static_cast<double>(granter.present_);
    }
}

duration wait_for_token(const allotment_account& account, double share)
{
    const double rate = account.limit_.per_second_ * share;
    const double seconds = std::max(0.0, 1 - account.tokens_) / std::max(rate, 1e-3);
    return std::min<duration>(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(seconds, 1e3)}),
        wait_max);
}

std::uint32_t grant(allotment_account& account, std::uint32_t wanted)
{
    const double whole = std::max(0.0, std::floor(account.tokens_));
    const auto granted = static_cast<std::uint32_t>(std::min<double>(wanted, whole));
    account.tokens_ -= granted;
    return granted;
}

} // namespace

void set_allotments(allotment_granter& granter, std::span<const organisation> all, time_point now)
{
    count_time(granter, now);
    const double share = share_of(granter, now);
    auto before = std::exchange(granter.accounts_, {});
    granter.near_limit_.clear();
    for (const organisation& each : all) {
        if (each.allotment_.per_second_ <= 0) {
            continue;
        }
        const name_hash name = hash_of_name(each.name_);
        const auto known = before.find(name);
        allotment_account account{each.allotment_, 0, granter.share_seconds_, granter.welcomes_};
        if (known != before.end()) {
            fill(granter, name, known->second, share);
            account.tokens_ = known->second.tokens_;
        }
        else {
            account.tokens_ = welcome_part * spare_of(each.allotment_, granter.bounds_);
        }
        const auto added = granter.accounts_.emplace(name, account).first;
        granter.near_limit_.insert(name); // until a report shows otherwise
        if (granter.present_ > 0) {
            fill(granter, name, added->second, share);
        }
    }
}

use_answer on_report(allotment_granter& granter, const use_report& report, time_point now)
{
    count_time(granter, now);
    on_host_heard(granter, report, now);
    const double share = share_of(granter, now);
    use_answer answer;
    answer.hosts_ = static_cast<std::uint32_t>(
        std::max<double>(1, static_cast<double>(granter.present_) / share + 0.5));
    std::unordered_map<name_hash, std::uint32_t> granted;
    for (const reported_use& use : report.uses_) {
        const auto found = granter.accounts_.find(use.organisation_);
        if (found == granter.accounts_.end()) {
            continue;
        }
        fill(granter, found->first, found->second, share);
        found->second.tokens_ -= use.used_;
        fill(granter, found->first, found->second, share);
        granted[found->first] = grant(found->second, use.wanted_);
        if (use.wanted_ > 0) {
            granter.near_limit_.insert(found->first); // its answer is expected
        }
    }
    const std::vector<name_hash> near{granter.near_limit_.begin(), granter.near_limit_.end()};
    for (const name_hash name : near) {
        allotment_account& account = granter.accounts_.at(name);
        fill(granter, name, account, share);
        const auto asked = granted.find(name);
        const bool is_asked = asked != granted.end();
        if (!granter.near_limit_.contains(name) && !is_asked) {
            continue;
        }
        if (answer.near_limit_.size() >= near_limit_max && !is_asked) {
            answer.all_near_limit_ = true;
            continue;
        }
        answer.near_limit_.push_back(
            {name, is_asked ? asked->second : 0, wait_for_token(account, share)});
    }
    return answer;
}

} // namespace savoryscale::organisations
