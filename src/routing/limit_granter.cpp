#include "routing/limit_granter.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::routing {

namespace {

using namespace std::chrono_literals;

// Grants are saved for this long, but not fewer than this many, so that requests which do not
// arrive evenly can use them all.
constexpr double saved_seconds = 0.5;
constexpr double saved_min = 0.5;

// Requests granted by an earlier process of this host may still arrive for this long after a
// start, and count towards the same limit.
constexpr duration settling_time = 5s;

// What a new bucket holds at most: the grants of this many seconds.
constexpr double first_seconds = 4;

// A target with a lower limit still gets a request now and then. Otherwise no answer would show
// that the limit has changed.
constexpr double per_second_min = 0.05;

// A denied request is expected to return within this time. Meanwhile others leave grants to it:
// less urgent ones most of them, and more urgent ones one in less_urgent_turn.
constexpr duration return_time = 500ms;
constexpr std::uint32_t less_urgent_turn = 4;
constexpr std::uint32_t priority_max = 15;

constexpr std::size_t buckets_max = 4096;
constexpr duration bucket_lifetime = 60s;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

double saved_max(const grant_bucket& bucket)
{
    return std::max(bucket.per_second_ * saved_seconds, saved_min);
}

double grants_max(const grant_bucket& bucket)
{
    return 1 + saved_max(bucket);
}

// Grants that must be there for a request. One that leaves grants to others takes them only when
// half of what can be saved has been left, so that none is lost.
double grants_needed(const grant_bucket& bucket, bool leaves_grants)
{
    return leaves_grants ? 1 + saved_max(bucket) / 2 : 1;
}

void fill(grant_bucket& bucket, time_point now)
{
    const double added = seconds_between(bucket.filled_at_, now) * bucket.per_second_;
    bucket.grants_ = std::min(bucket.grants_ + std::max(added, 0.0), grants_max(bucket));
    bucket.filled_at_ = now;
}

// Until any request may be granted: hosts also use it for more urgent ones.
duration time_to_grant(const grant_bucket& bucket)
{
    const double missing = std::max(0.0, 1 - bucket.grants_);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / bucket.per_second_));
}

// The bucket with the newest limit known; null when there is no room for another one.
grant_bucket* bucket_for(limit_granter& granter, const grant_wish& wish, time_point now)
{
    const double part =
        std::max(wish.per_second_, per_second_min) / static_cast<double>(granter.granters_);
    const time_point heard_at = now - wish.age_;
    const auto known = granter.buckets_.find(wish.target_);
    if (known != granter.buckets_.end()) {
        grant_bucket& bucket = known->second;
        fill(bucket, now);
        if (heard_at > bucket.heard_at_) {
            bucket.heard_at_ = heard_at;
            bucket.per_second_ = part;
            bucket.grants_ = std::min(bucket.grants_, grants_max(bucket));
        }
        bucket.asked_at_ = now;
        return &bucket;
    }
    if (granter.buckets_.size() >= buckets_max) {
        std::erase_if(granter.buckets_, [now](const auto& each) {
            return now - each.second.asked_at_ >= bucket_lifetime;
        });
    }
    if (granter.buckets_.size() >= buckets_max) {
        return nullptr;
    }
    grant_bucket fresh{part, 0, now, heard_at, now};
    if (now - granter.started_ >= settling_time) {
        fresh.grants_ = std::min(grants_max(fresh), wish.per_second_ * first_seconds /
                                                        static_cast<double>(granter.granters_));
    }
    return &granter.buckets_.emplace(wish.target_, fresh).first->second;
}

// Which others have been denied lately, relative to a request's priority.
struct waiting {
    bool more_urgent_ = false;
    bool less_urgent_ = false;
};

waiting find_waiting(limit_granter& granter, std::uint32_t priority, time_point now)
{
    std::erase_if(granter.denied_at_,
                  [now](const auto& each) { return now - each.second >= return_time; });
    waiting found;
    for (const auto& [denied, at] : granter.denied_at_) {
        found.more_urgent_ |= denied < priority;
        found.less_urgent_ |= denied > priority;
    }
    return found;
}

// Whether the next grant is for another request that was denied.
bool is_turn_of_others(const limit_granter& granter, const waiting& others)
{
    const bool is_turn_of_less_urgent = granter.urgent_grants_ + 1 >= less_urgent_turn;
    return others.more_urgent_ ? !is_turn_of_less_urgent
                               : others.less_urgent_ && is_turn_of_less_urgent;
}

void count_grant(limit_granter& granter, const waiting& others)
{
    if (others.more_urgent_ || !others.less_urgent_) {
        granter.urgent_grants_ = 0;
    }
    else {
        ++granter.urgent_grants_;
    }
}

} // namespace

grant_answer grant(limit_granter& granter, const grant_request& request, time_point now)
{
    grant_answer answer;
    if (granter.granters_ == 0) {
        answer.waits_.assign(request.wishes_.size(), settling_time);
        return answer;
    }
    const std::uint32_t priority = std::min(request.priority_, priority_max);
    const waiting others = find_waiting(granter, priority, now);
    const bool leaves_grants = is_turn_of_others(granter, others);
    for (std::size_t i = 0; i < request.wishes_.size(); ++i) {
        grant_bucket* bucket = bucket_for(granter, request.wishes_[i], now);
        if (bucket == nullptr) {
            answer.waits_.push_back(bucket_lifetime);
            continue;
        }
        if (bucket->grants_ >= grants_needed(*bucket, leaves_grants)) {
            bucket->grants_ -= 1;
            count_grant(granter, others);
            answer.granted_ = i;
            answer.waits_.clear();
            return answer;
        }
        answer.waits_.push_back(time_to_grant(*bucket));
    }
    granter.denied_at_[priority] = now;
    return answer;
}

} // namespace savoryscale::routing
