#pragma once

// Serves this host's directory data to other hosts by long polling: a request is held until there
// is an update or a confirmation that nothing has changed.

#include "base/clock.hpp"
#include "directory/feed_page.hpp"
#include "directory/host_table.hpp"
#include "http/page_server.hpp"
#include "http/timer_queue.hpp"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::directory {

struct feed;

// The request path that asks for the changes since a position, and what the reader says of itself.
std::string feed_path(const feed_position& reader,
                      const std::optional<announced_host>& host = std::nullopt);
std::optional<feed_position> read_feed_path(std::string_view path);
std::optional<announced_host> read_announced_host(std::string_view path);

// The request path that asks for hosts, those in the data centre first.
std::string hosts_path(std::string_view data_centre);

struct feed_server_events {
    std::function<void(const std::optional<announced_host>& reader)> on_request_;
    std::function<std::string(std::string_view data_centre)> on_hosts_request_;
    std::function<std::optional<time_point>()> as_of_; // none: no data yet
    // Answers a path that does not ask for the directory.
    std::function<http::page(std::string_view path)> on_peer_request_;
};

class feed_server {
public:
    feed_server(http::event_loop& loop, const feed& known, duration hold,
                feed_server_events events);
    ~feed_server();
    feed_server(const feed_server&) = delete;
    feed_server& operator=(const feed_server&) = delete;
    feed_server(feed_server&&) = delete;
    feed_server& operator=(feed_server&&) = delete;

    result<std::uint16_t> open(const settings::endpoint& address);

    // Answers all held requests. Called when the feed has changed or the store has confirmed it.
    void answer_readers();

private:
    struct reader {
        feed_position position_;
        http::page_reply reply_;
        time_point due_{}; // answered by then, with the current data
    };

    void on_request(std::string_view path, const http::page_reply& reply);
    http::page page_at(const feed_position& position) const;
    void on_hold_expired();

    http::event_loop& loop_;
    const feed& feed_;
    duration hold_;
    feed_server_events events_;
    std::list<reader> readers_; // longest waiting first
    http::timer_id timer_ = 0;
    http::page_server server_;
};

} // namespace savoryscale::directory
