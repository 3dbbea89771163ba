#include "http/page_connection.hpp"

#include "http/page_server.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

constexpr std::uint32_t header_max_bytes = 8192;
constexpr duration linger_time = std::chrono::seconds{1};

} // namespace

page_connection::page_connection(page_server& owner, socket& stream)
    : server_{owner}, stream_{&stream}, reader_{header_max_bytes}
{
}

page_connection::~page_connection()
{
    if (stream_ != nullptr) {
        stream_->close();
    }
}

void page_connection::on_data(std::string_view bytes)
{
    body_.clear();
    if (!reader_.feed(bytes, body_)) {
        leave();
        return;
    }
    while (stream_ != nullptr && reader_.complete()) {
        answer();
        reader_.next();
        if (stream_ != nullptr && !reader_.feed({}, body_)) {
            leave();
        }
    }
}

void page_connection::answer()
{
    const request_head& head = reader_.head();
    const page shown = server_.answer(head.target_);
    stream_->write(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
                               shown.status_, shown.status_ < 300 ? "OK" : "Unavailable",
                               shown.content_type_, shown.body_.size(),
                               head.keep_alive_ ? "" : "Connection: close\r\n"));
    stream_->write(shown.body_);
    if (!head.keep_alive_) {
        leave();
    }
}

void page_connection::leave()
{
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->finish(linger_time);
    }
    server_.forget(*this);
}

void page_connection::on_closed()
{
    stream_ = nullptr;
    server_.forget(*this);
}

} // namespace savoryscale::http
