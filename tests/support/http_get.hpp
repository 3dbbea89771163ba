#pragma once

// One HTTP/1.1 exchange over a blocking socket, for tests.

#include <cstdint>
#include <string>

namespace savoryscale::test {

// Sends `request` to 127.0.0.1 and returns the bytes received until the peer closes or sends
// nothing for 5 s.
std::string exchange(std::uint16_t port, const std::string& request);

// Sends a GET request with Connection: close. Returns head and body.
std::string http_get(std::uint16_t port, const std::string& path);

} // namespace savoryscale::test
