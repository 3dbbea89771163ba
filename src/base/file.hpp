#pragma once

// Reading of complete files.

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace savoryscale {

// The contents of a file; no value when it cannot be read.
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
