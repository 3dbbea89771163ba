#include "support/relay.hpp"

#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <system_error>

namespace savoryscale::tests {

using testing::loopback;

namespace {

// Forwards the available bytes from one socket to the other. Returns false at the end of stream.
bool forward_bytes(int from, int to)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
    return count > 0 &&
           send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

// A socket bound to the port of 127.0.0.1; 0: to a free one. Throws std::system_error if it is
// taken.
int bound_socket(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const int reason = errno;
        close(descriptor);
        throw std::system_error{reason, std::generic_category(),
                                "cannot bind to port " + std::to_string(port)};
    }
    return descriptor;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

relay::relay(std::uint16_t to_port)
    : reservation_{bound_socket(0)}, port_{port_of(reservation_)}, to_port_{to_port}
{
    open_listener();
    thread_ = std::thread{[this] { run(); }};
}

void relay::open_listener()
{
    listener_ = bound_socket(port_);
    listen(listener_, 16);
}

void relay::set_cut(path_cut cut)
{
    const std::lock_guard lock{mutex_};
    cut_ = cut;
    const bool accepts = cut == path_cut::none || cut == path_cut::silent;
    if (!accepts && listener_ >= 0) {
        shutdown(listener_, SHUT_RDWR); // poll() in the other thread keeps a closed one open
        close(listener_);
        listener_ = -1;
    }
    else if (accepts && listener_ < 0) {
        open_listener();
    }
    for (pair& each : pairs_) {
        each.silent_ |= cut == path_cut::silent || cut == path_cut::reset;
        if (cut == path_cut::reset) {
            shutdown(each.client_, SHUT_RDWR);
            shutdown(each.server_, SHUT_RDWR);
        }
    }
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
    close(reservation_);
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
    if (client < 0) {
        return; // polled under the number of this listener was the one before
    }
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(to_port_);
    if (connect(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(client);
        close(server);
        return;
    }
    ++accepted_;
    pairs_.push_back({client, server, cut_ == path_cut::silent});
}

void relay::run()
{
    while (!stopping_) {
        std::vector<pollfd> polled;
        std::vector<std::size_t> owners;
        {
            const std::lock_guard lock{mutex_};
            polled.push_back({listener_, POLLIN, 0});
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
        if (polled[0].revents != 0 && polled[0].fd == listener_) {
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
