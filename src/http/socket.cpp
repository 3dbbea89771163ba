#include "http/socket.hpp"

#include "http/event_loop.hpp"

#include <libwebsockets.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace savoryscale::http {

namespace {

// Most bytes handed to the library in one call; larger writes would be copied inside it.
constexpr std::size_t write_chunk_bytes = 65536;

// Consumed output is dropped from the front of the queue once it is this long.
constexpr std::size_t compact_bytes = 262144;

// A silent connection ends about two seconds after its other side was last heard.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_max_ms = 2000;

// A reader that takes nothing for this long is given up.
constexpr duration stall_limit = std::chrono::seconds{30};

// A connection that was reset has no peer any more; one that the peer ended still has.
bool is_peer_known(lws* wsi)
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
}

void socket::write(std::string_view bytes)
{
    if (killed_ || finishing_) {
        return;
    }
    output_.append(bytes);
    if (connected_ && !waits_writable_) {
        loop_.flush_later(*this);
    }
}

void socket::pause_reading()
{
    if (reading_ && wsi_ != nullptr && !killed_) {
        reading_ = false;
        lws_rx_flow_control(wsi_, 0);
    }
}

void socket::resume_reading()
{
    if (!reading_ && wsi_ != nullptr && !killed_) {
        reading_ = true;
        lws_rx_flow_control(wsi_, 1);
    }
}

void socket::keep_alive()
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
    kill();
}

void socket::finish(duration linger)
{
    handler_ = nullptr;
    if (killed_) {
        return;
    }
    finishing_ = true;
    resume_reading();
    linger_ = linger;
    untaken_bytes_ = 0;
    linger_timer_ = loop_.after(linger_, [this] { end_linger(); });
    loop_.flush_later(*this);
}

// Closes, unless the other side has yet to take what was sent: it may be a slow reader.
void socket::end_linger()
{
    linger_timer_ = 0;
    const std::size_t untaken = queued() + unacknowledged_bytes();
    stalled_ = untaken == untaken_bytes_ ? stalled_ + linger_ : duration::zero();
    untaken_bytes_ = untaken;
    if (untaken == 0 || stalled_ >= stall_limit) {
        kill();
        return;
    }
    linger_timer_ = loop_.after(linger_, [this] { end_linger(); });
}

// Bytes that the kernel holds until the other side acknowledges them.
std::size_t socket::unacknowledged_bytes() const
{
    int bytes = 0;
    if (wsi_ == nullptr || ::ioctl(lws_get_socket_fd(wsi_), SIOCOUTQ, &bytes) != 0) {
        return 0;
    }
    return static_cast<std::size_t>(bytes);
}

// Has the library close the connection: from inside its callback by return value, otherwise soon.
void socket::kill()
{
    if (killed_) {
        return;
    }
    killed_ = true;
    want_close_ = true;
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

// Hands the kernel as much as it takes. What the kernel does not take of a write stays with the
// library; until that is gone nothing more is written.
void socket::handle_writable()
{
    waits_writable_ = false;
    if (killed_ || wsi_ == nullptr) {
        return;
    }
    while (queued() > 0) {
        if (lws_partial_buffered(wsi_) != 0) {
            wait_writable();
            return;
        }
        const std::size_t length = std::min(queued(), write_chunk_bytes);
        auto* bytes = reinterpret_cast<unsigned char*>(output_.data() + sent_);
        if (lws_write(wsi_, bytes, length, LWS_WRITE_RAW) < 0) {
            fail();
            return;
        }
        sent_ += length;
        bytes_written_ += length;
        if (sent_ >= compact_bytes) {
            output_.erase(0, sent_);
            sent_ = 0;
        }
    }
    output_.clear();
    sent_ = 0;
    if (finishing_) {
        if (lws_partial_buffered(wsi_) != 0) {
            wait_writable();
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

void socket::wait_writable()
{
    waits_writable_ = true;
    lws_callback_on_writable(wsi_);
}

// The connection failed under a write. Its handler hears so once the library has closed it.
void socket::fail()
{
    want_close_ = true;
    lws_set_timeout(wsi_, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

void socket::handle_closed()
{
    ended_in_order_ = wsi_ != nullptr && connected_ && is_peer_known(wsi_);
    wsi_ = nullptr;
    killed_ = true;
    socket_handler* handler = std::exchange(handler_, nullptr);
    if (handler != nullptr) {
        handler->on_closed();
    }
}

} // namespace savoryscale::http
