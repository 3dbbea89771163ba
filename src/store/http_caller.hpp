#pragma once

// Sends HTTP/1.1 requests from a task of its own: one thread with one libwebsockets context. Each
// request opens a connection and closes it after the answer, so that a connection gone silent harms
// no later request, and nothing is ever sent twice.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace savoryscale::store {

// How a request ended.
enum class http_end : std::uint8_t {
    answered, // with a whole answer
    not_sent, // no byte of the request left this host
    unknown,  // sent, at least in part, but no whole answer came in time
};

struct http_answer {
    http_end end_ = http_end::unknown;
    int status_ = 0;
    std::string body_;
};

struct http_request {
    settings::endpoint to_;
    std::string method_ = "GET";
    std::string path_; // with the query
    std::string body_; // JSON; empty: none
    duration timeout_ = std::chrono::seconds{1};
    std::function<void(http_answer)> done_; // run once, on the task's thread
};

class http_caller {
public:
    http_caller();
    // Ends open requests as not_sent or unknown, each with its done_ run, and joins the thread.
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;
    http_caller(http_caller&&) = delete;
    http_caller& operator=(http_caller&&) = delete;

    // Any thread may call this.
    void submit(http_request request);

private:
    class task;
    std::unique_ptr<task> task_;
};

} // namespace savoryscale::store
