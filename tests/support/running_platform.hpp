#pragma once

// The platform's stand-in on free ports of 127.0.0.1, in its own thread.

#include "common/platform_standin.hpp"
#include "settings/settings.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace savoryscale::tests {

class running_platform {
public:
    explicit running_platform(std::uint64_t seed)
        : standin_{io_, loopback(), loopback(), seed}, thread_{[this] { io_.run(); }}
    {
    }
    ~running_platform()
    {
        io_.stop();
        thread_.join();
    }
    running_platform(const running_platform&) = delete;
    running_platform& operator=(const running_platform&) = delete;
    running_platform(running_platform&&) = delete;
    running_platform& operator=(running_platform&&) = delete;

    settings::endpoint address() const { return {"127.0.0.1", standin_.port()}; }

    // Applies `changes` like a POST to /control.
    void change(const std::string& changes) { control({"POST", "/control", changes}); }

    nlohmann::json counters()
    {
        return nlohmann::json::parse(control({"GET", "/control", ""}).body_);
    }

private:
    static boost::asio::ip::tcp::endpoint loopback()
    {
        return {boost::asio::ip::address_v4::loopback(), 0};
    }
    standins::control_reply control(const standins::control_request& request)
    {
        std::promise<standins::control_reply> done;
        boost::asio::post(io_, [&] { done.set_value(standin_.control(request)); });
        return done.get_future().get();
    }

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        io_.get_executor()};
    standins::platform_standin standin_;
    std::thread thread_;
};

} // namespace savoryscale::tests
