#pragma once

// A thread that runs the event loop of one libwebsockets context.

#include <atomic>
#include <functional>
#include <thread>

struct lws_context;

namespace savoryscale::telemetry {

class lws_thread {
public:
    lws_thread() = default;

    // Stops the loop, joins the thread and destroys the context.
    ~lws_thread();
    lws_thread(const lws_thread&) = delete;
    lws_thread& operator=(const lws_thread&) = delete;
    lws_thread(lws_thread&&) = delete;
    lws_thread& operator=(lws_thread&&) = delete;

    // Takes ownership of the context and runs its event loop until destruction. `on_start` runs
    // first, on the thread.
    void start(lws_context* context, std::function<void()> on_start = {});

private:
    lws_context* context_ = nullptr;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace savoryscale::telemetry
