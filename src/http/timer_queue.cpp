#include "http/timer_queue.hpp"

namespace savoryscale::http {

timer_id timer_queue::add(time_point due, std::function<void()> action)
{
    const timer_id id = ++last_id_;
    timers_.emplace(key{due, id}, std::move(action));
    due_by_id_.emplace(id, due);
    return id;
}

void timer_queue::cancel(timer_id id)
{
    const auto found = due_by_id_.find(id);
    if (found == due_by_id_.end()) {
        return;
    }
    timers_.erase(key{found->second, id});
    due_by_id_.erase(found);
}

std::optional<time_point> timer_queue::next_due() const
{
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first.first;
}

void timer_queue::run_due(time_point now)
{
    const timer_id last = last_id_;
    auto position = timers_.begin();
    while (position != timers_.end() && position->first.first <= now) {
        if (position->first.second > last) {
            ++position;
            continue;
        }
        {
            const auto action = std::move(position->second);
            due_by_id_.erase(position->first.second);
            timers_.erase(position);
            action();
        }
        // The action, or what it owned, may have changed the queue.
        position = timers_.begin();
    }
}

void timer_queue::clear()
{
    while (!timers_.empty()) {
        const auto discarded = std::exchange(timers_, {});
        due_by_id_.clear();
    }
}

} // namespace savoryscale::http
