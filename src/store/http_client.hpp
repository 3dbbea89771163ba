#pragma once

// An HTTP/1.1 client that runs on its own thread with its own libwebsockets context. Each request
// opens a connection and closes it after the answer, so that a connection that stops responding
// affects no later request, and no request is ever sent twice.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace savoryscale::store {

// How a request ended.
enum class http_outcome : std::uint8_t {
    answered, // a complete answer was received
    not_sent, // no byte of the request was sent
    unknown,  // sent at least in part, but no complete answer was received in time
};

struct http_answer {
    http_outcome outcome_ = http_outcome::unknown;
    int status_ = 0;
    std::string body_;
};

struct http_request {
    settings::endpoint destination_;
    std::string method_ = "GET";
    std::string path_; // including the query
    std::string body_; // JSON; empty if the request has no body
    duration timeout_ = std::chrono::seconds{1};
    std::function<void(http_answer)> done_; // run exactly once, on the client's thread
};

class http_client {
public:
    http_client();
    // Ends open requests as not_sent or unknown, runs the done_ of each, and joins the thread.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Starts the request. May be called from any thread.
    void submit(http_request request);

private:
    class task;
    std::unique_ptr<task> task_;
};

} // namespace savoryscale::store
