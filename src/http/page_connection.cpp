#include "http/page_connection.hpp"

#include "http/event_loop.hpp"
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
      progress_at_{owner.loop().now()},
      reader_{header_max_bytes}
{
}

page_connection::~page_connection()
{
    if (stream_ != nullptr) {
        stream_->close();
    }
}

bool page_connection::is_idle() const
{
    return !request_in_progress_ && unread_bytes_ == 0;
}

void page_connection::on_data(std::string_view bytes)
{
    body_.clear();
    if (!reader_.feed(bytes, body_)) {
        close_gracefully();
        return;
    }
    if (reader_.has_head() && reader_.pending_bytes() > header_max_bytes) {
        close_abruptly(); // many requests sent ahead, which no reader of pages does
        return;
    }
    if (!is_idle()) {
        return;
    }
    serve_next();
}

// Serves the next request once its head is there. One with a body is the last: the body is not
// read.
void page_connection::serve_next()
{
    if (!reader_.has_head()) {
        return;
    }
    request_in_progress_ = true;
    progress_at_ = server_.loop().now();
    keep_alive_ = reader_.complete() && reader_.head().keep_alive_;
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
    stream_->write(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
                               content.status_, content.status_ < 300 ? "OK" : "Unavailable",
                               content.content_type_, content.body_.size(),
                               keep_alive_ ? "" : "Connection: close\r\n"));
    if (reader_.head().method_ != "HEAD") {
        stream_->write(content.body_);
    }
    if (!keep_alive_) {
        close_gracefully();
        return;
    }
    reader_.next();
    unread_bytes_ = stream_->held_bytes();
    server_.change_unread(0, unread_bytes_);
}

// The answer has been sent: the next request may follow.
void page_connection::on_drained()
{
    if (unread_bytes_ == 0) {
        return;
    }
    drop_unread();
    progress_at_ = server_.loop().now();
    body_.clear();
    if (!reader_.feed({}, body_)) {
        close_gracefully();
        return;
    }
    serve_next();
}

void page_connection::drop_unread()
{
    server_.change_unread(std::exchange(unread_bytes_, 0), 0);
}

void page_connection::close_gracefully()
{
    self_.reset();
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->finish(linger_time);
    }
    drop_unread();
    server_.remove_connection(*this);
}

void page_connection::close_abruptly()
{
    self_.reset();
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->close();
    }
    drop_unread();
    server_.remove_connection(*this);
}

void page_connection::on_closed()
{
    self_.reset();
    stream_ = nullptr;
    drop_unread();
    server_.remove_connection(*this);
}

} // namespace savoryscale::http
