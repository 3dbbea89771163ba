#include "base/error.hpp"

#include <fmt/format.h>

namespace savoryscale {

std::string to_string(const error& failure)
{
    return fmt::format("{}: {}; {}", failure.where_, failure.what_, failure.remedy_);
}

} // namespace savoryscale
