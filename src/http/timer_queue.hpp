#pragma once

// Timers of one task: a set of deadlines with callbacks, earliest first.

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace savoryscale::http {

// Names a timer; 0 names none.
using timer_id = std::uint64_t;

class timer_queue {
public:
    // Runs `action` once when `due` has come. Returns the id to cancel it by.
    timer_id add(time_point due, std::function<void()> action);

    // Forgets the timer. Unknown ids, 0 among them, are ignored.
    void cancel(timer_id id);

    // When the earliest timer is due.
    [[nodiscard]] std::optional<time_point> next_due() const;

    // Runs every timer that is due at `now`. Timers added meanwhile wait for the next call.
    void run_due(time_point now);

    // Forgets every timer, also those that are added while the forgotten ones are destroyed.
    void clear();

private:
    using key = std::pair<time_point, timer_id>;

    timer_id last_id_ = 0;
    std::map<key, std::function<void()>> timers_;
    std::unordered_map<timer_id, time_point> due_by_id_;
};

} // namespace savoryscale::http
