#include "settings/settings.hpp"

#include <fmt/format.h>

namespace savoryscale::settings {

namespace {

// Where the memory of the host is not known.
constexpr std::size_t caller_memory_mb = 32;

// The rest is for the process itself, for room that the allocator cannot reuse, and for what the
// kernel has received and the process has not read.
constexpr std::size_t caller_memory_fraction = 4;

} // namespace

std::string to_string(const endpoint& address)
{
    return fmt::format("{}:{}", address.ip_, address.port_);
}

std::size_t caller_memory_bytes(const settings& config)
{
    const std::size_t derived = config.host_.memory_mb_ == 0
                                    ? caller_memory_mb
                                    : config.host_.memory_mb_ / caller_memory_fraction;
    const std::size_t set = config.listen_.body_memory_mb_;
    return (set == 0 ? derived : set) << 20U;
}

} // namespace savoryscale::settings
