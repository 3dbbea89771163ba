#include "admission/target_name.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace savoryscale::admission {

std::string shared_target_name(std::string_view address, std::string_view id, std::uint64_t born_ms)
{
    // Without a start time the name is that of releases that knew none.
    const std::string lifetime = born_ms == 0 ? std::string{id} : fmt::format("{}/{}", id, born_ms);
    return fmt::format("{}/{:08x}", address, XXH32(lifetime.data(), lifetime.size(), 0));
}

} // namespace savoryscale::admission
