#pragma once

// Whole files as text.

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace savoryscale {

// The contents of a file; nothing when it cannot be read.
inline std::optional<std::string> read_file(const std::string& file)
{
    const std::ifstream stream{file, std::ios::binary};
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

} // namespace savoryscale
