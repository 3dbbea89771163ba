#pragma once

// Requests directory data from one peer at a time while active, and switches to the next peer on
// failure.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "directory/feed_page.hpp"
#include "directory/host_table.hpp"
#include "http/timer_queue.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::http {
class connection_pool;
class event_loop;
class buffered_exchange;
struct buffered_answer;
} // namespace savoryscale::http

namespace savoryscale::directory {

struct feed_client_events {
    // Returns why another peer is to be asked; empty: none is.
    std::function<std::string_view(const feed_page&)> on_page_;
    std::function<feed_position()> position_; // of this host's data, in the peer's feed
    std::function<std::optional<announced_host>()> announced_host_; // what this host says of itself
    std::function<void()> on_lost_; // on the first of consecutive failures
};

class feed_client {
public:
    // `timeout`: of one request; after it the next peer is tried.
    feed_client(http::event_loop& loop, duration timeout, random_source& random,
                feed_client_events events);
    ~feed_client();
    feed_client(const feed_client&) = delete;
    feed_client& operator=(const feed_client&) = delete;
    feed_client(feed_client&&) = delete;
    feed_client& operator=(feed_client&&) = delete;

    // Sets the peers, in the order in which they are tried; see peer_order.
    void set_peers(std::span<const settings::endpoint> peers);

    // Starts or stops sending requests.
    void set_active(bool active);

    // Called when the current peer's data is out of date: cancels the request and tries the next
    // peer.
    void skip_peer();

    // "ip:port" of the current peer; empty when there is none.
    [[nodiscard]] std::string peer_name() const;

private:
    void send_request();
    void on_answer(const http::buffered_answer& answer);
    void fail(const std::string& reason);
    void cancel_call();

    http::event_loop& loop_;
    duration timeout_;
    random_source& random_;
    feed_client_events events_;
    std::vector<settings::endpoint> peers_;
    std::size_t current_ = 0; // index into peers_
    std::unique_ptr<http::connection_pool> pool_;
    std::unique_ptr<http::buffered_exchange> exchange_;
    http::timer_id timer_ = 0;
    std::uint32_t failures_ = 0; // consecutive
    bool active_ = false;
    bool lost_ = false; // the loss was logged
};

// The peers without `own`, in an order that depends on the host, so that hosts spread over them.
std::vector<settings::endpoint> peer_order(std::span<const settings::endpoint> peers,
                                           const settings::endpoint& own, std::string_view host);

} // namespace savoryscale::directory
