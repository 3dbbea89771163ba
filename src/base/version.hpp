#pragma once

// The release number of this source tree.

#include <string_view>

namespace savoryscale {

inline constexpr std::string_view product_version = "0.1.0";

} // namespace savoryscale
