#pragma once

// A caller's connection to an entry host: sends a call and checks the answer byte for byte.

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
    duration timeout_ = std::chrono::seconds{10}; // after this the caller closes the connection
    std::uint32_t deadline_ms_ = 0;               // sent as X-Deadline-Ms; 0: not sent
    double read_bytes_per_s_ = 0;                 // limit on reading answers; 0: unlimited
};

class caller : public std::enable_shared_from_this<caller> {
public:
    using completion_handler = std::function<void(call_end)>;

    caller(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint host,
           const caller_settings& settings);

    // Whether the bytes are a server's notice that it closes an idle connection: a complete 408
    // with Connection: close and outcome not-run. All other unrequested bytes are an error.
    static bool is_idle_close(std::string_view bytes);

    // State of a connection between two calls.
    enum class idle_state { ready, closed, surplus };

    // Checks for a close or for bytes that belong to no request.
    idle_state inspect();

    bool connected() const { return connected_; }

    // Sends a call, on a new connection unless one is open; calls `finished` once.
    void perform(const call& wanted, completion_handler finished);

private:
    using response_parser = boost::beast::http::response_parser<checked_body>;

    void write();
    void write_body();
    void read();
    void read_at_limited_rate(std::size_t bytes);
    void on_answer_complete();
    call_end classify_answer() const;
    void finish(call_end end);
    std::string header() const;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint host_;
    const caller_settings& settings_;
    boost::asio::steady_timer timeout_;
    boost::asio::steady_timer read_delay_;
    boost::beast::flat_buffer input_;
    std::optional<response_parser> parser_;
    std::string output_;
    call call_;
    std::uint64_t sent_ = 0;   // bytes of the commit's body
    std::uint64_t digest_ = 0; // of these bytes
    completion_handler finished_;
    bool connected_ = false;
};

} // namespace savoryscale::standins
