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

constexpr std::uint64_t max_body_bytes = 8U << 20U;

// One connection to the server.
class control_session : public std::enable_shared_from_this<control_session> {
public:
    control_session(tcp::socket socket, const json_server::deferred_handler& answer)
        : socket_{std::move(socket)}, answer_{answer}
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        http::async_read(socket_, input_, *parser_,
                         [self = shared_from_this()](const error_code& failure, std::size_t) {
                             if (!failure) {
                                 self->handle_request();
                             }
                         });
    }

private:
    void handle_request()
    {
        const auto& request = parser_->get();
        const auto method = request.method_string();
        const auto target = request.target();
        answer_({std::string{method.data(), method.size()},
                 std::string{target.data(), target.size()}, request.body()},
                [self = shared_from_this()](std::optional<control_reply> reply) {
                    self->respond(std::move(reply));
                });
    }

    void respond(std::optional<control_reply> reply)
    {
        if (!reply) {
            error_code ignored;
            socket_.close(ignored);
            return;
        }
        response_ = {};
        response_.result(static_cast<unsigned>(reply->status_));
        response_.set(http::field::content_type, "application/json");
        response_.body() = std::move(reply->body_);
        response_.keep_alive(parser_->get().keep_alive());
        response_.prepare_payload();
        http::async_write(socket_, response_,
                          [self = shared_from_this()](const error_code& failure, std::size_t) {
                              if (!failure && self->response_.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    tcp::socket socket_;
    const json_server::deferred_handler& answer_;
    boost::beast::flat_buffer input_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

// Adapts a handler that answers at once to one that may answer later.
json_server::deferred_handler deferred(json_server::handler answer)
{
    return [answer = std::move(answer)](const control_request& request,
                                        const json_server::responder& respond) {
        respond(answer(request));
    };
}

} // namespace

json_server::json_server(boost::asio::io_context& io, const tcp::endpoint& address, handler answer)
    : json_server{io, address, deferred(std::move(answer))}
{
}

json_server::json_server(boost::asio::io_context& io, const tcp::endpoint& address,
                         deferred_handler answer)
    : acceptor_{io, address}, address_{acceptor_.local_endpoint()}, answer_{std::move(answer)}
{
    accept();
}

void json_server::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void json_server::listen()
{
    if (acceptor_.is_open()) {
        return;
    }
    acceptor_.open(address_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    acceptor_.bind(address_);
    acceptor_.listen();
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
