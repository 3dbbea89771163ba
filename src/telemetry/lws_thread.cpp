#include "telemetry/lws_thread.hpp"

#include <libwebsockets.h>

#include <utility>

namespace savoryscale::telemetry {

lws_thread::~lws_thread()
{
    if (context_ == nullptr) {
        return;
    }
    stopping_ = true;
    lws_cancel_service(context_);
    thread_.join();
    lws_context_destroy(context_);
}

void lws_thread::start(lws_context* context, std::function<void()> on_start)
{
    context_ = context;
    thread_ = std::thread{[this, begin = std::move(on_start)] {
        if (begin) {
            begin();
        }
        while (!stopping_ && lws_service(context_, 0) >= 0) {
        }
    }};
}

} // namespace savoryscale::telemetry
