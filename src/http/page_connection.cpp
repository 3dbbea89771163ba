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
    : server_{owner},
      stream_{&stream},
      self_{std::make_shared<page_connection*>(this)},
      reader_{header_max_bytes}
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
        close_gracefully();
        return;
    }
    serve_pending_requests();
}

void page_connection::serve_pending_requests()
{
    while (stream_ != nullptr && !request_in_progress_ && reader_.complete()) {
        serve_request();
    }
}

void page_connection::serve_request()
{
    request_in_progress_ = true;
    server_.answer(reader_.head().target_,
                   [weak = std::weak_ptr<page_connection*>{self_}](const page& content) {
                       if (const auto connection = weak.lock()) {
                           (*connection)->answer(content);
                       }
                   });
}

void page_connection::answer(const page& content)
{
    if (!std::exchange(request_in_progress_, false)) {
        return;
    }
    const bool keep_alive = reader_.head().keep_alive_;
    stream_->write(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
                               content.status_, content.status_ < 300 ? "OK" : "Unavailable",
                               content.content_type_, content.body_.size(),
                               keep_alive ? "" : "Connection: close\r\n"));
    stream_->write(content.body_);
    if (!keep_alive) {
        close_gracefully();
        return;
    }
    reader_.next();
    if (!reader_.feed({}, body_)) {
        close_gracefully();
        return;
    }
    serve_pending_requests();
}

void page_connection::close_gracefully()
{
    self_.reset();
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->finish(linger_time);
    }
    server_.remove_connection(*this);
}

void page_connection::on_closed()
{
    self_.reset();
    stream_ = nullptr;
    server_.remove_connection(*this);
}

} // namespace savoryscale::http
