#pragma once

// Answers GETs of operators' tools on an address of their own, inside an event loop.

#include "base/error.hpp"
#include "settings/settings.hpp"

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

class page_server {
public:
    using page_function = std::function<page(std::string_view path)>;

    page_server(event_loop& loop, page_function answer);
    ~page_server();
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;
    page_server(page_server&&) = delete;
    page_server& operator=(page_server&&) = delete;

    // Starts to listen; returns the port in use.
    result<std::uint16_t> open(const settings::endpoint& address);

    // For its connections.
    page answer(std::string_view path) const { return answer_(path); }
    void forget(page_connection& gone);

private:
    event_loop& loop_;
    page_function answer_;
    std::unordered_map<page_connection*, std::unique_ptr<page_connection>> connections_;
};

} // namespace savoryscale::http
