#pragma once

// The release this source tree builds.

#include <string_view>

namespace savoryscale {

inline constexpr std::string_view product_version = "0.1.0";

} // namespace savoryscale
