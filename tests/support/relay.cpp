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

// Moves what is there from one socket to the other; false at the end of the stream.
bool pass(int from, int to)
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
        close(each.left_);
        close(each.right_);
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
    const int left = accept(listener_, nullptr, nullptr);
    const int right = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(to_port_);
    if (connect(right, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(left);
        close(right);
        return;
    }
    ++accepted_;
    pairs_.push_back({left, right, false});
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
                    polled.push_back({pairs_[i].left_, POLLIN, 0});
                    polled.push_back({pairs_[i].right_, POLLIN, 0});
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
                (polled[1 + 2 * i].revents != 0 && !pass(owner.left_, owner.right_)) ||
                (polled[2 + 2 * i].revents != 0 && !pass(owner.right_, owner.left_));
            if (ended) {
                shutdown(owner.left_, SHUT_RDWR);
                shutdown(owner.right_, SHUT_RDWR);
                owner.silent_ = true;
            }
        }
    }
}

} // namespace savoryscale::tests
