#include "directory/store_era.hpp"

#include <charconv>

namespace savoryscale::directory {

std::optional<std::uint64_t> read_store_era(std::string_view text)
{
    std::uint64_t era = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole && era > 0 ? std::optional{era} : std::nullopt;
}

era_change on_era_heard(store_era& known, std::optional<std::uint64_t> named, time_point began,
                        time_point now)
{
    if (!named || *named == known.value_) {
        return era_change::none;
    }
    if (known.value_ > 0 && began < known.heard_at_) {
        return era_change::outdated;
    }
    known = {*named, now};
    return era_change::changed;
}

} // namespace savoryscale::directory
