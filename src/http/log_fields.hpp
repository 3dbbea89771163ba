#pragma once

// Formats values of log fields that several parts of the HTTP task write.

#include "base/clock.hpp"
#include "routing/target.hpp"
#include "routing/target_limit.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

// Milliseconds with one decimal place.
std::string log_ms(duration time);

// One target's load as "NAME=IN_FLIGHT/SLOTS*SLOWDOWN ".
std::string log_load(std::string_view target, const routing::load_report& load);

// Requests per second, in as many digits as needed.
std::string log_limit(const routing::target_limit& limit);

} // namespace savoryscale::http
