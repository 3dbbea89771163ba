#pragma once

// Addresses of sockets that tests open.

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace savoryscale::testing {

// The port of 127.0.0.1; 0: a free one when bound.
inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace savoryscale::testing
