#pragma once

// Decides who is served while a service has too little room for all callers. Answers count most
// within the route's latency objective, from the caller's first try on. Once that has passed, a
// caller takes what the others leave over, or returns later.
//
// A host knows the load of other hosts only by the targets that it probes.

#include "base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::admission {

// The time limits that callers of one route have stated lately.
struct stated_limits {
    std::array<duration, 64> recent_{}; // a ring
    std::size_t count_ = 0;             // since the start
};
void on_limit_stated(stated_limits&, duration limit);

// How long a caller has been trying: its limit shrinks from try to try, while the usual limit of
// first tries is known from other callers. Zero for a limit above the usual one.
duration time_tried(const stated_limits&, duration limit);

// What the searches of this host have seen of the targets of one service.
struct room {
    double taken_ = 0; // fraction of probed targets without a slot in time: moving average
    time_point seen_at_{};
};

// One search for a target has ended. `in_time`: probed targets that have a free slot and are
// expected to answer within the objective.
void on_room_seen(room&, std::size_t probed, std::size_t in_time, time_point now);

bool is_short(const room&, time_point now);

// What a caller may claim of the room.
enum class standing : std::uint8_t {
    ample,   // there is room for all
    timely,  // it can still be answered within the objective
    closing, // it cannot, and may not return again
    overdue, // it cannot, and has time to return
};
inline constexpr std::array<std::string_view, 4> standing_names{"ample", "timely", "closing",
                                                                "overdue"};

constexpr std::string_view to_string(standing value)
{
    return standing_names[static_cast<std::size_t>(value)];
}

struct room_request {
    duration tried_{};                  // since the caller's first try
    std::optional<duration> left_;      // until the caller gives up; none: it does not say
    std::optional<duration> objective_; // from the first try on; none: the route has none
    duration usual_work_{};             // expected latency at a free target; zero: unknown
};
standing standing_of(const room&, const room_request&, time_point now);

// When a refused caller should return. `slot_wait`: until a slot is expected to be free.
duration return_time(standing, const room_request&, duration slot_wait);

} // namespace savoryscale::admission
