#include "admission/body_memory.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::admission {

namespace {

using namespace std::chrono_literals;

constexpr duration measurement_interval = 10ms;

// Enough to keep a connection busy.
constexpr std::size_t crowded_limit = 16384;

} // namespace

bool is_measurement_due(const body_memory& memory, time_point now)
{
    return now - memory.measured_at_ >= measurement_interval;
}

void on_measured(body_memory& memory, std::size_t held, time_point now)
{
    memory.held_ = held;
    memory.measured_at_ = now;
}

std::size_t body_limit(const body_memory& memory, std::size_t usual)
{
    return memory.held_ < memory.max_ / 2 ? usual : std::min(usual, crowded_limit);
}

bool accepts_body(const body_memory& memory)
{
    return is_plentiful(memory);
}

bool accepts_head(const body_memory& memory, std::size_t bytes)
{
    return is_plentiful(memory) || bytes <= crowded_limit;
}

bool is_plentiful(const body_memory& memory)
{
    return memory.held_ < memory.max_ / 4 * 3;
}

bool is_exhausted(const body_memory& memory)
{
    return memory.held_ >= memory.max_;
}

bool gives_way(const body_memory& memory, std::size_t bytes)
{
    return is_exhausted(memory) && bytes > crowded_limit;
}

} // namespace savoryscale::admission
