#pragma once

// One caller's connection to an entry host: sends a call, judges the answer byte for byte.

#include "common/call.hpp"
#include "common/checked_body.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::standins {

struct caller_settings {
    duration timeout_ = std::chrono::seconds{10}; // then the caller closes and leaves
    std::uint32_t deadline_ms_ = 0;               // sent as X-Deadline-Ms; 0: not sent
    double read_bytes_per_s_ = 0;                 // reads answers no faster; 0: no bound
};

class caller : public std::enable_shared_from_this<caller> {
public:
    using done = std::function<void(call_end)>;

    caller(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint host,
           const caller_settings& settings);

    // Whether the bytes are a server's notice that it closes a connection without a request: a
    // whole 408 that closes and says that nothing was run. Anything else unasked for is a fault.
    static bool is_idle_close(std::string_view bytes);

    // What is true of a connection between two calls.
    enum class idle_state { ready, closed, surplus };

    // Looks for a close or for bytes that belong to no request.
    idle_state inspect();

    bool connected() const { return connected_; }

    // Sends one call, on a new connection unless one is open; `finished` is run once.
    void perform(const call& wanted, done finished);

private:
    using response_parser = boost::beast::http::response_parser<checked_body>;

    void write();
    void write_body();
    void read();
    void read_later(std::size_t bytes);
    void answered();
    call_end judge() const;
    void finish(call_end end);
    std::string header() const;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint host_;
    const caller_settings& settings_;
    boost::asio::steady_timer timeout_;
    boost::asio::steady_timer pause_;
    boost::beast::flat_buffer input_;
    std::optional<response_parser> parser_;
    std::string output_;
    call call_;
    std::uint64_t sent_ = 0;   // bytes of the commit's body
    std::uint64_t digest_ = 0; // of them
    done finished_;
    bool connected_ = false;
};

} // namespace savoryscale::standins
