#pragma once

// A small HTTP server for a stand-in's control port: one handler, whole bodies.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
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

    // Listens at once. Throws boost::system::system_error if the port is taken.
    json_server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                handler answer);

    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    handler answer_;
};

} // namespace savoryscale::standins
