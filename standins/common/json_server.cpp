#include "common/json_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace savoryscale::standins {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// One connection to the control port.
class control_session : public std::enable_shared_from_this<control_session> {
public:
    control_session(tcp::socket socket, const json_server::handler& answer)
        : socket_{std::move(socket)}, answer_{answer}
    {
    }

    void read()
    {
        request_ = {};
        http::async_read(socket_, input_, request_,
                         [self = shared_from_this()](const error_code& failure, std::size_t) {
                             if (!failure) {
                                 self->respond();
                             }
                         });
    }

private:
    void respond()
    {
        const auto method = request_.method_string();
        const auto target = request_.target();
        const control_reply reply =
            answer_({std::string{method.data(), method.size()},
                     std::string{target.data(), target.size()}, request_.body()});
        response_ = {};
        response_.result(static_cast<unsigned>(reply.status_));
        response_.set(http::field::content_type, "application/json");
        response_.body() = reply.body_;
        response_.keep_alive(request_.keep_alive());
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](const error_code& failure, std::size_t) {
                              if (!failure && self->response_.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    tcp::socket socket_;
    const json_server::handler& answer_;
    boost::beast::flat_buffer input_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};

} // namespace

json_server::json_server(boost::asio::io_context& io, const tcp::endpoint& address, handler answer)
    : acceptor_{io, address}, answer_{std::move(answer)}
{
    accept();
}

void json_server::accept()
{
    acceptor_.async_accept([this](const error_code& failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            std::make_shared<control_session>(std::move(socket), answer_)->read();
        }
        accept();
    });
}

} // namespace savoryscale::standins
