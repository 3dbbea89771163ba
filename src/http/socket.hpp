#pragma once

// One TCP connection inside an event_loop, plain or TLS, over a libwebsockets raw socket.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct lws;

namespace savoryscale::http {

class event_loop;
class socket;

// What a socket tells its owner. Every call runs on the loop's thread. After on_closed the socket
// is gone; an owner that called close() hears nothing more.
class socket_handler {
public:
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_drained() {} // the output queue fell to empty
    virtual void on_closed() = 0;

    socket_handler(const socket_handler&) = delete;
    socket_handler& operator=(const socket_handler&) = delete;
    socket_handler(socket_handler&&) = delete;
    socket_handler& operator=(socket_handler&&) = delete;

protected:
    socket_handler() = default;
    ~socket_handler() = default;
};

// Bytes in and out with back pressure. Owned by the loop; handlers keep a plain pointer until
// on_closed or close().
class socket {
public:
    socket(event_loop& loop, socket_handler* handler);
    ~socket();
    socket(const socket&) = delete;
    socket& operator=(const socket&) = delete;
    socket(socket&&) = delete;
    socket& operator=(socket&&) = delete;

    // Who hears of events from now on.
    void set_handler(socket_handler* handler) { handler_ = handler; }

    // Queues bytes to be sent. The caller bounds the queue by watching queued().
    void write(std::string_view bytes);

    // Bytes queued here that the kernel has not taken.
    [[nodiscard]] std::size_t queued() const { return output_.size() - sent_; }

    // Bytes handed to the kernel since the connection was opened.
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

    // Stops and resumes reading, which pushes back on the sender through TCP.
    void pause_reading();
    void resume_reading();

    // Has the kernel probe the other side while it is silent, and end the connection without an
    // answer.
    void keep_alive();

    // Closes at once, dropping queued bytes. The handler is not called any more.
    void close();

    // Whether the other side ended the connection in order, after all it had to send. Meant for
    // on_closed.
    [[nodiscard]] bool ended_in_order() const { return ended_in_order_; }

    // Sends what is queued, then ends the sending side, discards input, and closes when the other
    // side has, or after `linger` once it has taken everything. The handler is not called any more.
    void finish(duration linger);

private:
    friend class event_loop;

    void handle_data(std::string_view bytes);
    void handle_writable();
    void handle_closed();
    void end_linger();
    [[nodiscard]] std::size_t unacknowledged_bytes() const;
    void wait_writable();
    void fail();
    void kill();

    event_loop& loop_;
    socket_handler* handler_;
    lws* wsi_ = nullptr;
    std::string output_;
    std::size_t sent_ = 0; // bytes of output_ that the kernel has taken
    std::uint64_t bytes_written_ = 0;
    std::uint64_t linger_timer_ = 0;
    duration linger_{};
    duration stalled_{};            // since the other side last took anything, while finishing
    std::size_t untaken_bytes_ = 0; // when the linger timer last fired
    bool accepted_ = false;         // by a listener of the loop
    bool connected_ = false;
    bool waits_writable_ = false; // the library will tell when the kernel takes more
    bool flush_queued_ = false;   // the loop will hand the queue to the kernel
    bool reading_ = true;
    bool finishing_ = false;
    bool ended_in_order_ = false;
    bool killed_ = false;
    bool want_close_ = false; // the callback in progress must tell the library to close
};

} // namespace savoryscale::http
