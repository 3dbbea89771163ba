#include "http/log_fields.hpp"

#include <fmt/format.h>

#include <chrono>

namespace savoryscale::http {

std::string log_ms(duration time)
{
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>{time}.count());
}

std::string log_load(std::string_view target, const routing::load_report& load)
{
    return fmt::format("{}={:.0f}/{:.0f}*{:.2f} ", target, load.requests_in_flight_, load.slots_,
                       load.slowdown_);
}

std::string log_limit(const routing::target_limit& limit)
{
    return fmt::format("{:g}", limit.per_second_);
}

} // namespace savoryscale::http
