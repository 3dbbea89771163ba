#include "support/relay.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace savoryscale::tests {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Forwards the available bytes from one socket to the other. Returns false at the end of stream.
bool forward_bytes(int from, int to)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
    return count > 0 &&
           send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

} // namespace

relay::relay(std::uint16_t to_port) : listener_{socket(AF_INET, SOCK_STREAM, 0)}, to_port_{to_port}
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread{[this] { run(); }};
}

relay::~relay()
{
    stopping_ = true;
    thread_.join();
    for (const pair& each : pairs_) {
        close(each.client_);
        close(each.server_);
    }
    close(listener_);
}

void relay::silence_open_connections()
{
    const std::lock_guard lock{mutex_};
    for (pair& each : pairs_) {
        each.silent_ = true;
    }
}

void relay::accept_one()
{
    const int client = accept(listener_, nullptr, nullptr);
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(to_port_);
    if (connect(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(client);
        close(server);
        return;
    }
    ++accepted_;
    pairs_.push_back({client, server, false});
}

void relay::run()
{
    while (!stopping_) {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        std::vector<std::size_t> owners;
        {
            const std::lock_guard lock{mutex_};
            for (std::size_t i = 0; i < pairs_.size(); ++i) {
                if (!pairs_[i].silent_) {
                    polled.push_back({pairs_[i].client_, POLLIN, 0});
                    polled.push_back({pairs_[i].server_, POLLIN, 0});
                    owners.push_back(i);
                }
            }
        }
        poll(polled.data(), polled.size(), 10);
        const std::lock_guard lock{mutex_};
        if (polled[0].revents != 0) {
            accept_one();
        }
        for (std::size_t i = 0; i < owners.size(); ++i) {
            pair& owner = pairs_[owners[i]];
            if (owner.silent_) {
                continue;
            }
            const bool ended =
                (polled[1 + 2 * i].revents != 0 && !forward_bytes(owner.client_, owner.server_)) ||
                (polled[2 + 2 * i].revents != 0 && !forward_bytes(owner.server_, owner.client_));
            if (ended) {
                shutdown(owner.client_, SHUT_RDWR);
                shutdown(owner.server_, SHUT_RDWR);
                owner.silent_ = true;
            }
        }
    }
}

} // namespace savoryscale::tests
