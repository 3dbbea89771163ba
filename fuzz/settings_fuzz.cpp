// Fuzzes the settings parser: any input gives settings or errors with a place and a remedy.

#include "settings/parse.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto parsed = savoryscale::settings::parse(text, "fuzz");
    if (parsed) {
        return 0;
    }
    if (parsed.error().empty()) {
        std::abort();
    }
    for (const auto& entry : parsed.error()) {
        if (entry.where_.empty() || entry.what_.empty() || entry.remedy_.empty()) {
            std::abort();
        }
    }
    return 0;
}
