#include "telemetry/span_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryscale::telemetry {

void span_queue::push(span finished)
{
    {
        const std::lock_guard lock{mutex_};
        if (spans_.size() < capacity_) {
            spans_.push_back(std::move(finished));
            return;
        }
    }
    dropped_.Increment();
}

std::vector<span> span_queue::take(std::size_t count)
{
    const std::lock_guard lock{mutex_};
    const auto end = spans_.begin() + static_cast<std::ptrdiff_t>(std::min(count, spans_.size()));
    std::vector<span> taken{std::make_move_iterator(spans_.begin()), std::make_move_iterator(end)};
    spans_.erase(spans_.begin(), end);
    return taken;
}

} // namespace savoryscale::telemetry
