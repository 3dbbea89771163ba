#include "http/socket.hpp"

#include "http/event_loop.hpp"

#include <libwebsockets.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace savoryscale::http {

namespace {

// Most bytes passed to lws_write in one call; libwebsockets would copy larger writes.
constexpr std::size_t write_chunk_bytes = 65536;

// Room that an empty queue keeps, enough for most answers.
constexpr std::size_t kept_bytes = 4096;

// A silent connection closes about two seconds after the last segment from the peer.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_max_ms = 2000;

// A finishing connection whose peer acknowledges nothing for this long is closed.
constexpr duration stall_timeout = std::chrono::seconds{30};

// Distinguishes the ways to close: a reset connection has no peer address any more, while one that
// the peer closed normally still has.
bool has_peer(lws* wsi)
{
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    return ::getpeername(lws_get_socket_fd(wsi), reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

} // namespace

socket::socket(event_loop& loop, socket_handler* handler) : loop_{loop}, handler_{handler} {}

socket::~socket()
{
    loop_.cancel(linger_timer_);
    if (finishing_) {
        loop_.remove_finishing(*this);
    }
}

void socket::write(std::string_view bytes)
{
    if (closing_ || finishing_) {
        return;
    }
    output_.append(bytes);
    if (connected_ && !waiting_for_writable_) {
        loop_.flush_later(*this);
    }
}

void socket::pause_reading()
{
    if (reading_ && wsi_ != nullptr && !closing_) {
        reading_ = false;
        lws_rx_flow_control(wsi_, 0);
    }
}

void socket::resume_reading()
{
    if (!reading_ && wsi_ != nullptr && !closing_) {
        reading_ = true;
        lws_rx_flow_control(wsi_, 1);
    }
}

void socket::enable_tcp_keepalive()
{
    const int descriptor = lws_get_socket_fd(wsi_);
    const auto set = [descriptor](int level, int option, int value) {
        ::setsockopt(descriptor, level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_max_ms);
}

void socket::close()
{
    handler_ = nullptr;
    request_close();
}

void socket::finish(duration linger)
{
    handler_ = nullptr;
    if (closing_) {
        return;
    }
    finishing_ = true;
    loop_.add_finishing(*this);
    resume_reading();
    linger_ = linger;
    undelivered_bytes_ = 0;
    linger_timer_ = loop_.after(linger_, [this] { on_linger_timer(); });
    loop_.flush_later(*this);
}

// Closes, unless the peer, which may be a slow reader, has not acknowledged all output yet.
void socket::on_linger_timer()
{
    linger_timer_ = 0;
    const std::size_t undelivered = queued() + unacknowledged_bytes();
    stalled_for_ = undelivered == undelivered_bytes_ ? stalled_for_ + linger_ : duration::zero();
    undelivered_bytes_ = undelivered;
    if (undelivered == 0 || stalled_for_ >= stall_timeout) {
        request_close();
        return;
    }
    linger_timer_ = loop_.after(linger_, [this] { on_linger_timer(); });
}

// Bytes that the kernel keeps until the peer acknowledges them.
std::size_t socket::unacknowledged_bytes() const
{
    int bytes = 0;
    if (wsi_ == nullptr || ::ioctl(lws_get_socket_fd(wsi_), SIOCOUTQ, &bytes) != 0) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

// Makes libwebsockets close the connection: through the return value of a callback in progress,
// otherwise asynchronously.
void socket::request_close()
{
    if (closing_) {
        return;
    }
    closing_ = true;
    close_requested_ = true;
    if (wsi_ != nullptr) {
        lws_set_timeout(wsi_, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    }
}

void socket::handle_data(std::string_view bytes)
{
    if (handler_ != nullptr) {
        handler_->on_data(bytes);
    }
}

// Writes a part of the queue and returns its size; 0 when the kernel takes no more, none on
// failure. With TLS, libwebsockets buffers the rest of a partial write.
std::optional<std::size_t> socket::write_some()
{
    if (lws_is_ssl(wsi_) == 0) {
        const ssize_t written = ::send(lws_get_socket_fd(wsi_), output_.data() + sent_, queued(),
                                       MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0) {
            const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
            return is_full ? std::optional<std::size_t>{0} : std::nullopt;
        }
        return static_cast<std::size_t>(written);
    }
    if (lws_partial_buffered(wsi_) != 0) {
        return 0;
    }
    const std::size_t length = std::min(queued(), write_chunk_bytes);
    auto* bytes = reinterpret_cast<unsigned char*>(output_.data() + sent_);
    if (lws_write(wsi_, bytes, length, LWS_WRITE_RAW) < 0) {
        return std::nullopt;
    }
    return length;
}

// Writes as much as the kernel accepts.
void socket::handle_writable()
{
    waiting_for_writable_ = false;
    if (closing_ || wsi_ == nullptr) {
        return;
    }
    while (queued() > 0) {
        const auto written = write_some();
        if (!written) {
            on_write_failed();
            return;
        }
        sent_ += *written;
        bytes_written_ += *written;
        if (*written == 0) {
            discard_sent();
            request_writable_callback();
            return;
        }
    }
    discard_sent();
    if (finishing_) {
        if (lws_partial_buffered(wsi_) != 0) {
            request_writable_callback();
            return;
        }
        if (lws_is_ssl(wsi_) == 0) {
            ::shutdown(lws_get_socket_fd(wsi_), SHUT_WR);
        }
        return;
    }
    if (handler_ != nullptr) {
        handler_->on_drained();
    }
}

void socket::discard_sent()
{
    if (queued() == 0 && output_.capacity() > kept_bytes) {
        std::string{}.swap(output_); // an assignment would keep the room
    }
    else {
        output_.erase(0, sent_);
    }
    sent_ = 0;
}

void socket::request_writable_callback()
{
    waiting_for_writable_ = true;
    lws_callback_on_writable(wsi_);
}

// Called when a write failed. The handler gets on_closed when libwebsockets has closed the
// connection.
void socket::on_write_failed()
{
    close_requested_ = true;
    lws_set_timeout(wsi_, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

void socket::handle_closed()
{
    is_closed_cleanly_ = wsi_ != nullptr && connected_ && has_peer(wsi_);
    wsi_ = nullptr;
    closing_ = true;
    socket_handler* handler = std::exchange(handler_, nullptr);
    if (handler != nullptr) {
        handler->on_closed();
    }
}

} // namespace savoryscale::http
