#include "admission/holder.hpp"

#include "admission/body_memory.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::admission {

namespace {

using namespace std::chrono_literals;

// A caller that is served as usual sends its request at once after it has connected, and the rest
// of it without pauses beyond some round trips.
constexpr duration stall_time = 1s;

// Less than this per connection is room that all connections have.
constexpr std::size_t small_bytes = 4096;

// Closing an idle connection breaks nothing off, yet it may be an ordinary caller's.
int rank(const holder& each, time_point now)
{
    const bool stalled = now - each.progress_at_ >= stall_time;
    if (each.phase_ == holder_phase::working) {
        return 3;
    }
    if (each.phase_ == holder_phase::idle) {
        return 1;
    }
    return stalled ? 0 : 2;
}

} // namespace

std::vector<std::size_t> choose_for_connections(std::span<const holder> holders, std::size_t count,
                                                time_point now)
{
    std::vector<const holder*> order;
    for (const holder& each : holders) {
        const bool begun = each.phase_ != holder_phase::unused && rank(each, now) >= 2;
        if (!begun) {
            order.push_back(&each);
        }
    }
    const std::size_t chosen = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(chosen),
                      order.end(), [now](const holder* a, const holder* b) {
                          const int left = rank(*a, now);
                          const int right = rank(*b, now);
                          return left != right ? left < right : a->progress_at_ < b->progress_at_;
                      });
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < chosen; ++i) {
        indices.push_back(order[i]->index_);
    }
    return indices;
}

std::vector<std::size_t> choose_for_memory(std::span<const holder> holders,
                                           const body_memory& memory, time_point now)
{
    if (is_plentiful(memory)) {
        return {};
    }
    std::vector<const holder*> order;
    for (const holder& each : holders) {
        const bool may_close =
            is_exhausted(memory) ? each.phase_ != holder_phase::working : rank(each, now) == 0;
        if (may_close && each.bytes_ > small_bytes) {
            order.push_back(&each);
        }
    }
    std::sort(order.begin(), order.end(), [now](const holder* a, const holder* b) {
        const int left = rank(*a, now);
        const int right = rank(*b, now);
        return left != right ? left < right : a->bytes_ > b->bytes_;
    });
    std::vector<std::size_t> indices;
    body_memory left = memory;
    for (const holder* each : order) {
        if (is_plentiful(left)) {
            break;
        }
        left.held_ -= std::min(left.held_, each->bytes_);
        indices.push_back(each->index_);
    }
    return indices;
}

} // namespace savoryscale::admission
