#pragma once

// Formats values of log fields that several parts of the HTTP task write.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

// Milliseconds with one decimal place.
std::string log_ms(duration time);

// One target's load as "NAME=IN_FLIGHT/SLOTS*SLOWDOWN ".
std::string log_load(std::string_view target, const routing::load_report& load);

} // namespace savoryscale::http
