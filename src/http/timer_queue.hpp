#pragma once

// The timers of one task: callbacks ordered by due time.

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace savoryscale::http {

// Identifies a timer; 0 means no timer.
using timer_id = std::uint64_t;

class timer_queue {
public:
    // Adds a timer that runs `action` once at `due`. Returns the id for cancel().
    timer_id add(time_point due, std::function<void()> action);

    // Removes the timer. Ignores unknown ids, including 0.
    void cancel(timer_id id);

    // Due time of the earliest timer.
    [[nodiscard]] std::optional<time_point> next_due() const;

    // Runs every timer that is due at `now`. Timers added by these actions wait for the next call.
    void run_due(time_point now);

    // Removes every timer, including those added while the actions are destroyed.
    void clear();

private:
    using key = std::pair<time_point, timer_id>;

    timer_id last_id_ = 0;
    std::map<key, std::function<void()>> timers_;
    std::unordered_map<timer_id, time_point> due_by_id_;
};

} // namespace savoryscale::http
