#include "admission/room.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>

namespace savoryscale::admission {

namespace {

// The part of a route's callers, at least, that are on their first try; no lower part of callers
// with a longer limit changes what is usual.
constexpr double first_tries_min = 0.1;

// Room is short while fewer than three in ten of the targets probed could answer in time: one
// search of three probes in three then finds none.
constexpr double taken_when_short = 0.7;

// Probes after which what was seen before them counts for a third.
constexpr double probes_remembered = 12;

// Without news, room counts as free again within a second.
constexpr double memory_s = 0.5;

// Callers follow Retry-After up to this part of the time that they have left.
constexpr double return_fraction = 1.0 / 3;

// Mean of the return times as a part of the longest; the answer's jitter spreads them up to it.
constexpr double return_mean = 0.8;

// A caller that has used this part of its time has returned before, and may not do so again.
constexpr double closing_fraction = 0.5;

duration scaled(duration time, double factor)
{
    return duration{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

double taken_now(const room& seen, time_point now)
{
    const double age = std::chrono::duration<double>{now - seen.seen_at_}.count();
    return seen.taken_ * std::exp(-std::max(age, 0.0) / memory_s);
}

} // namespace

void on_limit_stated(stated_limits& limits, duration limit)
{
    limits.recent_[limits.count_++ % limits.recent_.size()] = limit;
}

duration time_tried(const stated_limits& limits, duration limit)
{
    const std::size_t count = std::min(limits.count_, limits.recent_.size());
    if (count == 0) {
        return {};
    }
    auto sorted = limits.recent_;
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(count) * first_tries_min);
    std::nth_element(sorted.begin(), sorted.begin() + rank,
                     sorted.begin() + static_cast<std::ptrdiff_t>(count), std::greater<>{});
    return std::max(duration::zero(), sorted[static_cast<std::size_t>(rank)] - limit);
}

void on_room_seen(room& seen, std::size_t probed, std::size_t in_time, time_point now)
{
    if (probed == 0) {
        return;
    }
    const auto count = static_cast<double>(probed);
    const double taken = 1 - static_cast<double>(in_time) / count;
    const double before = taken_now(seen, now);
    seen.taken_ = taken + (before - taken) * std::exp(-count / probes_remembered);
    seen.seen_at_ = now;
}

bool is_short(const room& seen, time_point now)
{
    return taken_now(seen, now) > taken_when_short;
}

standing standing_of(const room& seen, const room_request& request, time_point now)
{
    if (!request.objective_ || !is_short(seen, now)) {
        return standing::ample;
    }
    if (request.tried_ + request.usual_work_ <= *request.objective_) {
        return standing::timely;
    }
    const bool may_return =
        request.left_ && request.tried_ < scaled(request.tried_ + *request.left_, closing_fraction);
    return may_return ? standing::overdue : standing::closing;
}

duration return_time(standing chosen, const room_request& request, duration slot_wait)
{
    const bool in_time = request.objective_ &&
                         request.tried_ + slot_wait + request.usual_work_ <= *request.objective_;
    if (chosen == standing::ample || in_time || !request.left_) {
        return slot_wait;
    }
    return std::max(slot_wait, scaled(*request.left_, return_fraction * return_mean));
}

} // namespace savoryscale::admission
