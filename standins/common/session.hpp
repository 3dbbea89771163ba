#pragma once

// A connection to a stand-in target: reads requests, submits them, sends answers, injects faults.

#include "base/clock.hpp"
#include "common/behaviour.hpp"
#include "common/digest_body.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::standins {

class target;

// A piece of an answer: text, or a range of content that is generated when it is sent.
struct segment {
    std::string text_;
    std::uint64_t seed_ = 0;
    std::uint64_t offset_ = 0;
    std::uint64_t size_ = 0;
};

class session : public std::enable_shared_from_this<session> {
public:
    session(boost::asio::ip::tcp::socket socket, target& owner);

    // Starts reading after the delay open_us_.
    void start();

    // Closes unless a request is in progress.
    void close_if_idle();

    // Closes the connection with a TCP reset.
    void abort();

    // Stops handling and answering requests, but keeps the connection open.
    void silence();

private:
    using request_parser = boost::beast::http::request_parser<digest_body>;
    using request = boost::beast::http::request<digest_body>;

    void read();
    void on_read(std::size_t count);
    void parse();
    void handle(const request& received);
    bool handle_probe(const request& received);
    void apply_fault(fault injected, const request& received);
    void submit(fault injected, const request& received);
    void answer(fault injected, const request& received);
    void answer_late(const request& received);
    void send(std::deque<segment> pieces, bool then_close);
    void write_next();
    void on_sent();
    void close();
    void close_after(duration delay);
    void run_after(boost::asio::steady_timer& timer, duration delay, void (session::*next)());
    std::string header(int status, std::uint64_t length, std::string_view extra);
    std::deque<segment> complete_answer(const request& received);
    std::deque<segment> content_answer(const request& received);

    boost::asio::ip::tcp::socket socket_;
    target& owner_;
    boost::asio::steady_timer read_pause_;
    boost::asio::steady_timer write_pause_;
    boost::asio::steady_timer stall_;
    boost::beast::flat_buffer input_;
    std::optional<request_parser> parser_;
    std::array<char, 65536> chunk_{};
    std::string output_;
    std::deque<segment> pieces_;
    std::optional<time_point> deadline_;
    std::uint64_t job_ = 0;
    bool reading_ = false;
    bool busy_ = false;
    bool silent_ = false;
    bool closed_ = false;
    bool close_when_sent_ = false;
};

} // namespace savoryscale::standins
