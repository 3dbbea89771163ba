#include "support/fake_upstream.hpp"

#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace savoryscale::testing {

namespace {

// Receives bytes and appends them to `pending`. Returns false at the end of the stream.
bool read_more(int descriptor, std::string& pending)
{
    std::array<char, 65536> buffer{};
    const auto length = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (length <= 0) {
        return false;
    }
    pending.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

// Returns the number of bytes sent: fewer than all when the connection is closed.
std::size_t send_all(int descriptor, std::string_view bytes)
{
    const std::size_t all = bytes.size();
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            break;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return all - bytes.size();
}

// Length of the first message in `text`; npos while it is incomplete.
std::size_t message_length(std::string_view text)
{
    const auto head = text.find("\r\n\r\n");
    if (head == std::string_view::npos) {
        return std::string_view::npos;
    }
    const std::size_t body = head + 4;
    const std::string_view fields = text.substr(0, body);
    if (const auto at = fields.find("Content-Length: "); at != std::string_view::npos) {
        const auto length = std::stoul(std::string{fields.substr(at + 16)});
        return text.size() >= body + length ? body + length : std::string_view::npos;
    }
    if (fields.find("Transfer-Encoding: chunked") != std::string_view::npos) {
        const auto last = text.find("0\r\n\r\n", body);
        return last == std::string_view::npos ? last : last + 5;
    }
    return body;
}

std::string read_message(int descriptor, std::string& pending)
{
    while (message_length(pending) == std::string_view::npos) {
        if (!read_more(descriptor, pending)) {
            return std::exchange(pending, {});
        }
    }
    const std::size_t length = message_length(pending);
    std::string message = pending.substr(0, length);
    pending.erase(0, length);
    return message;
}

} // namespace

std::string script_connection::read_request()
{
    return read_message(descriptor_, pending_);
}

void script_connection::send(std::string_view bytes)
{
    send_all(descriptor_, bytes);
}

std::size_t script_connection::send_endlessly(std::string_view bytes, std::size_t at_most)
{
    constexpr std::size_t block_bytes = 4096;
    std::string block;
    while (block.size() < block_bytes) {
        block += bytes;
    }
    std::size_t sent = 0;
    while (sent < at_most) {
        const std::size_t taken = send_all(descriptor_, block);
        sent += taken;
        if (taken < block.size()) {
            break;
        }
    }
    return sent;
}

void script_connection::reset()
{
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    // Connecting to AF_UNSPEC dissolves the association, which sends a reset.
    const sockaddr unspecified{AF_UNSPEC, {}};
    ::connect(descriptor_, &unspecified, sizeof unspecified);
}

void script_connection::close()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

void script_connection::wait_for_close()
{
    while (read_more(descriptor_, pending_)) {
    }
}

fake_upstream::fake_upstream(script run, int receive_bytes) : run_{std::move(run)}
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_bytes > 0) {
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        ::listen(listener_, 64) != 0) {
        throw std::runtime_error{"fake upstream cannot listen"};
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread{[this] { accept_all(); }};
}

fake_upstream::~fake_upstream()
{
    stop_accepting();
    {
        const std::lock_guard lock{mutex_};
        for (const int descriptor : descriptors_) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread& worker : workers_) {
        worker.join();
    }
    for (const int descriptor : descriptors_) {
        ::close(descriptor);
    }
}

void fake_upstream::stop_accepting()
{
    if (acceptor_.joinable()) {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
    }
}

void fake_upstream::crash()
{
    stop_accepting();
    const std::lock_guard lock{mutex_};
    for (const int descriptor : descriptors_) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void fake_upstream::accept_all()
{
    while (true) {
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0) {
            return;
        }
        const std::lock_guard lock{mutex_};
        descriptors_.push_back(descriptor);
        workers_.emplace_back([this, descriptor, number = count_++] {
            script_connection connection{descriptor};
            run_(connection, number);
            connection.close();
        });
    }
}

test_client::test_client(std::uint16_t port, int receive_bytes, std::uint8_t host)
    : descriptor_{::socket(AF_INET, SOCK_STREAM, 0)}
{
    if (receive_bytes > 0) {
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    const timeval longest_read{30, 0}; // a test that waits longer has failed
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &longest_read, sizeof longest_read);
    // The port is chosen by connect: one that bind chose would serve no other connection for the
    // minute after this one, and tests that run at once would use up all ports.
    const int port_at_connect = 1;
    ::setsockopt(descriptor_, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &port_at_connect,
                 sizeof port_at_connect);
    sockaddr_in own = loopback(0);
    own.sin_addr.s_addr = htonl(0x7f000000U | host);
    const sockaddr_in address = loopback(port);
    if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
        throw std::runtime_error{"test client cannot bind"};
    }
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error{"test client cannot connect"};
    }
}

test_client::~test_client()
{
    ::close(descriptor_);
}

void test_client::send(std::string_view bytes)
{
    send_all(descriptor_, bytes);
}

std::string test_client::read_answer()
{
    return read_message(descriptor_, pending_);
}

void test_client::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

std::string test_client::read_to_end()
{
    while (read_more(descriptor_, pending_)) {
    }
    return std::exchange(pending_, {});
}

std::string ok_answer(std::string_view body, std::string_view fields)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n{}", body.size(), fields,
                       body);
}

} // namespace savoryscale::testing
