#pragma once

// Values of log fields that several parts of the HTTP task write.

#include "base/clock.hpp"
#include "routing/target.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

// Milliseconds with a decimal.
std::string log_ms(duration time);

// "NAME=in flight/slots*slowdown " of one target.
std::string log_load(std::string_view target, const routing::load_report& load);

} // namespace savoryscale::http
