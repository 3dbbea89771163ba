#pragma once

// The event loop of one task: a libwebsockets context with raw sockets and timers. Except
// for wake() and stop(), members must be called on the thread that runs the loop.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/timer_queue.hpp"
#include "settings/settings.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

struct lws;
struct lws_context;
struct lws_vhost;

namespace savoryscale::http {

class socket;
class socket_handler;

// Returns the handler for a newly accepted connection; nullptr closes the connection.
using accept_function = std::function<socket_handler*(socket&)>;

// Whether a loop can open and accept connections with TLS.
enum class tls_support : bool { no, yes };

class event_loop {
public:
    // `max_sockets` limits the total of accepted and opened connections. Without TLS, the system's
    // certificates are not read, which saves 2 MB and most of the start-up time.
    static result<std::unique_ptr<event_loop>> make(std::uint32_t max_sockets,
                                                    tls_support tls = tls_support::yes);

    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Listens on the address; port 0 picks a free one. Returns the port in use.
    result<std::uint16_t> listen(const settings::endpoint& address,
                                 const std::optional<settings::tls_identity>& tls,
                                 accept_function accept);

    // Stops accepting on every listener; accepted connections stay open.
    void stop_listening();

    // Starts a connection; the handler gets on_connected or on_closed. Returns nullptr if no
    // connection could be started; the handler is then not called.
    socket* connect(const settings::endpoint& address, bool tls, socket_handler* handler);

    // Runs `action` once on this loop after `delay`.
    timer_id after(duration delay, std::function<void()> action);
    timer_id at(time_point due, std::function<void()> action);
    void cancel(timer_id id);

    // Removes every timer and destroys the items passed to destroy_later(). For a task that ends
    // before its loop.
    void clear_timers() { timers_.clear(); }

    // Destroys the item once the callback in progress has returned.
    template<class T>
    void destroy_later(std::unique_ptr<T> item)
    {
        after(duration::zero(), [owned = std::shared_ptr<T>{std::move(item)}] {});
    }

    // Runs until stop(). `on_wake` is called after wake().
    void run(std::function<void()> on_wake);

    // Makes the loop call on_wake. May be called from any thread.
    void wake();

    // Makes run() return. May be called from any thread.
    void stop();

    // Current monotonic time.
    [[nodiscard]] time_point now() const;

    // Number of accepted connections, including those that are being closed.
    [[nodiscard]] std::size_t accepted() const { return accepted_; }

    // Memory of accepted connections that are being closed, for answers that the peer has not read.
    [[nodiscard]] std::size_t finishing_bytes() const;

    // Closes the connection that has been closing the longest, of those with unread answers if
    // `unread`. Returns whether there was one.
    bool end_oldest_finishing(bool unread);

    // Entry point for the library's callbacks.
    static int callback(lws* wsi, int reason, void* data, std::size_t length);

private:
    friend class socket;
    struct listener;
    struct timer_hook;

    event_loop();

    int dispatch(lws* wsi, int reason, void* data, std::size_t length);
    int handle_accepted(lws* wsi);
    void flush_later(socket& stream);
    void flush();
    void accept_pending(listener& entry);
    void arm_timer();
    void remove_socket(socket* closed);
    void add_finishing(socket& stream) { finishing_.push_back(&stream); }
    void remove_finishing(socket& stream) { std::erase(finishing_, &stream); }

    lws_context* context_ = nullptr;
    lws_vhost* client_vhost_ = nullptr;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::vector<socket*> finishing_; // closed by their owners, the oldest first
    std::unordered_map<socket*, std::unique_ptr<socket>> sockets_;
    std::vector<socket*> to_flush_; // with output to write before the loop next waits
    std::size_t max_sockets_ = 0;
    std::size_t accepted_ = 0;
    timer_queue timers_;
    std::unique_ptr<timer_hook> hook_;
    std::optional<time_point> armed_for_;
    std::function<void()> on_wake_;
    std::atomic<bool> stopping_ = false;
    bool closing_down_ = false;
};

} // namespace savoryscale::http
