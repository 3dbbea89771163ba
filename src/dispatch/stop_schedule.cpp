#include "dispatch/stop_schedule.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::dispatch {

namespace {

using namespace std::chrono_literals;

// For the host's own answers to reach their callers.
constexpr duration answer_margin = 100ms;

// For the answer of a target that uses all of its time to arrive and to be forwarded.
constexpr duration target_margin = 100ms;

} // namespace

time_point answer_deadline(const stop_schedule& stop)
{
    return stop.ends_at_ - answer_margin;
}

time_point target_deadline(const stop_schedule& stop)
{
    return answer_deadline(stop) - target_margin;
}

bool is_answered_before(const stop_schedule& stop, duration expected, time_point now)
{
    return now + expected < target_deadline(stop);
}

duration accepting_time(const stop_schedule& stop, duration wanted, time_point now)
{
    return std::min(wanted, (stop.ends_at_ - now) / 2);
}

} // namespace savoryscale::dispatch
