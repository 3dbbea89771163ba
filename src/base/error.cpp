#include "base/error.hpp"

#include <fmt/format.h>

namespace savoryscale {

std::string to_string(const error& fault)
{
    return fmt::format("{}: {}; {}", fault.where_, fault.what_, fault.remedy_);
}

} // namespace savoryscale
