#pragma once

// A small HTTP server for stand-ins, with one handler; bodies are buffered completely.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace savoryscale::standins {

struct control_request {
    std::string method_;
    std::string target_; // path and query
    std::string body_;
};

struct control_reply {
    int status_ = 200;
    std::string body_;
};

class json_server {
public:
    using handler = std::function<control_reply(const control_request&)>;

    // Answers a request, at once or later; without a reply the connection is closed.
    using responder = std::function<void(std::optional<control_reply>)>;
    using deferred_handler = std::function<void(const control_request&, const responder&)>;

    // Listens at once. Throws boost::system::system_error if the port is taken.
    json_server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                handler answer);
    json_server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                deferred_handler answer);

    boost::asio::ip::tcp::endpoint address() const { return address_; }

    // Refuses connections until listen() is called.
    void close();
    void listen();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint address_;
    deferred_handler answer_;
};

} // namespace savoryscale::standins
