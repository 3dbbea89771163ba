#pragma once

// One TCP connection inside an event_loop, plain or TLS, over a libwebsockets raw socket.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct lws;

namespace savoryscale::http {

class event_loop;
class socket;

// Receives a socket's events, on the loop's thread. The socket must not be used after on_closed.
// After the owner calls close() or finish(), there are no more events.
class socket_handler {
public:
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_drained() {} // the output queue is empty
    virtual void on_closed() = 0;

    socket_handler(const socket_handler&) = delete;
    socket_handler& operator=(const socket_handler&) = delete;
    socket_handler(socket_handler&&) = delete;
    socket_handler& operator=(socket_handler&&) = delete;

protected:
    socket_handler() = default;
    ~socket_handler() = default;
};

// Sends and receives bytes with backpressure. Owned by the loop; handlers may keep a raw pointer
// until on_closed, close() or finish().
class socket {
public:
    socket(event_loop& loop, socket_handler* handler);
    ~socket();
    socket(const socket&) = delete;
    socket& operator=(const socket&) = delete;
    socket(socket&&) = delete;
    socket& operator=(socket&&) = delete;

    // Sets the receiver of further events.
    void set_handler(socket_handler* handler) { handler_ = handler; }

    // Queues bytes to send. The queue is unbounded; the user of this class limits it with queued().
    void write(std::string_view bytes);

    // Queued bytes that have not been written to the connection.
    [[nodiscard]] std::size_t queued() const { return output_.size() - sent_; }

    // Memory for queued bytes.
    [[nodiscard]] std::size_t held_bytes() const { return output_.capacity(); }

    // Bytes written since the connection was opened.
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

    // Pause and resume reading; a pause slows the sender down through TCP flow control.
    void pause_reading();
    void resume_reading();

    // Address of the peer without its port; set for accepted connections.
    [[nodiscard]] const std::string& peer_ip() const { return peer_ip_; }

    // Enables TCP keepalive: the kernel probes a silent peer and closes the connection if the
    // peer does not respond.
    void enable_tcp_keepalive();

    // Closes immediately and discards queued bytes. The handler is not called again.
    void close();

    // Whether the peer closed the connection in an orderly way, after sending all its data, rather
    // than by a reset. Valid in on_closed.
    [[nodiscard]] bool is_closed_cleanly() const { return is_closed_cleanly_; }

    // Sends the queued bytes, shuts down the sending side and discards input. Closes when the peer
    // closes, or after `linger` once the peer has acknowledged everything. The handler is not
    // called again.
    void finish(duration linger);

private:
    friend class event_loop;

    void handle_data(std::string_view bytes);
    void handle_writable();
    std::optional<std::size_t> write_some();
    void discard_sent();
    void handle_closed();
    void on_linger_timer();
    [[nodiscard]] std::size_t unacknowledged_bytes() const;
    void request_writable_callback();
    void on_write_failed();
    void request_close();

    event_loop& loop_;
    socket_handler* handler_;
    lws* wsi_ = nullptr;
    std::string peer_ip_;
    std::string output_;
    std::size_t sent_ = 0; // bytes of output_ that have been written
    std::uint64_t bytes_written_ = 0;
    std::uint64_t linger_timer_ = 0;
    duration linger_{};
    duration stalled_for_{}; // how long the peer has acknowledged nothing while finishing
    std::size_t undelivered_bytes_ = 0; // undelivered bytes when the linger timer last fired
    bool accepted_ = false;             // accepted by a listener, not opened by connect()
    bool connected_ = false;
    bool waiting_for_writable_ = false; // a writable callback has been requested
    bool flush_queued_ = false;         // the loop will write the queued output
    bool reading_ = true;
    bool finishing_ = false;
    bool is_closed_cleanly_ = false;
    bool closing_ = false;
    bool close_requested_ = false; // the current or next callback returns -1: libwebsockets closes
};

} // namespace savoryscale::http
