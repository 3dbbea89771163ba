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

    page_server(event_loop& loop, std::size_t connections_max, page_handler answer);
    ~page_server();
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;
    page_server(page_server&&) = delete;
    page_server& operator=(page_server&&) = delete;

    // Starts listening. Returns the port in use.
    result<std::uint16_t> open(const settings::endpoint& address);

    // Called by the connections.
    void answer(std::string_view path, const page_reply& reply) const { answer_(path, reply); }
    void remove_connection(page_connection& closed);

private:
    event_loop& loop_;
    std::size_t connections_max_; // further connections are closed immediately
    page_handler answer_;
    std::unordered_map<page_connection*, std::unique_ptr<page_connection>> connections_;
};

} // namespace savoryscale::http
