#pragma once

// One HTTP/1.1 exchange over a blocking socket, for tests.

#include <cstdint>
#include <string>

namespace savoryscale::test {

// Sends `request` to 127.0.0.1 and returns all bytes until the other side closes or 5 s pass.
std::string exchange(std::uint16_t port, const std::string& request);

// GETs a path with Connection: close; returns head and body.
std::string http_get(std::uint16_t port, const std::string& path);

} // namespace savoryscale::test
