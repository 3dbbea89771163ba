#pragma once

// Compression of payloads sent between entry hosts.

#include <cstddef>
#include <optional>
#include <string>

namespace savoryscale::peer {

// Smaller payloads are sent uncompressed.
inline constexpr std::size_t compress_min_bytes = 512;

std::string compress(const std::string& plain);

// Decompresses exactly `plain_bytes`. Returns none if the data is invalid or shorter.
std::optional<std::string> decompress(const std::string& compressed, std::size_t plain_bytes);

} // namespace savoryscale::peer
