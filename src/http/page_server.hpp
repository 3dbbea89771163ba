#pragma once

// A small HTTP server inside an event loop. It answers GET requests from operators' tools and other
// hosts on an address separate from the callers'.

#include "base/error.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace savoryscale::http {

class event_loop;
class page_connection;

struct page {
    int status_ = 200;
    std::string content_type_ = "text/plain";
    std::string body_;
};

// Answers one request, immediately or later. Does nothing if the connection has ended.
using page_reply = std::function<void(const page&)>;

class page_server {
public:
    using page_handler = std::function<void(std::string_view path, const page_reply&)>;

    // When `connections_max` are open, the one without progress for the longest gives way to a new
    // one.
    page_server(event_loop& loop, std::size_t connections_max, page_handler answer);
    ~page_server();
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;
    page_server(page_server&&) = delete;
    page_server& operator=(page_server&&) = delete;

    // Starts listening. Returns the port in use.
    result<std::uint16_t> open(const settings::endpoint& address);

    // Called by the connections.
    [[nodiscard]] event_loop& loop() const { return loop_; }
    void answer(std::string_view path, const page_reply& reply) const { answer_(path, reply); }
    void change_unread(std::size_t before, std::size_t after);
    void remove_connection(page_connection& closed);

private:
    event_loop& loop_;
    void make_room();
    void relieve_memory();

    std::size_t connections_max_;
    std::size_t unread_bytes_ = 0; // of answers, on all connections
    std::uint64_t relief_timer_ = 0;
    page_handler answer_;
    std::unordered_map<page_connection*, std::unique_ptr<page_connection>> connections_;
};

} // namespace savoryscale::http
