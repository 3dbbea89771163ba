#include "support/http_get.hpp"

#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace savoryscale::test {

std::string exchange(std::uint16_t port, const std::string& request)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const timeval receive_timeout{5, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    const sockaddr_in address = testing::loopback(port);
    std::string answer;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        std::array<char, 4096> buffer{};
        ssize_t size = 0;
        while ((size = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0) {
            answer.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    close(descriptor);
    return answer;
}

std::string http_get(std::uint16_t port, const std::string& path)
{
    return exchange(port, "GET " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
}

} // namespace savoryscale::test
