#include "common/caller.hpp"

#include "common/content.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace savoryscale::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t write_chunk_bytes = 65536;
constexpr std::uint64_t body_limit_bytes = std::uint64_t{1} << 40;

} // namespace

caller::caller(asio::io_context& io, asio::ip::tcp::endpoint host, const caller_settings& settings)
    : socket_{io}, host_{std::move(host)}, settings_{settings}, timeout_{io}, read_delay_{io}
{
}

bool caller::is_idle_close(std::string_view bytes)
{
    const auto has = [bytes](std::string_view part) {
        return bytes.find(part) != std::string_view::npos;
    };
    constexpr std::string_view status = "HTTP/1.1 408 ";
    return bytes.substr(0, status.size()) == status && has("\r\nConnection: close\r\n") &&
           has("\r\nSavoryscale-Outcome: not-run\r\n") && has("\r\n\r\n");
}

caller::idle_state caller::inspect()
{
    std::array<char, 1024> bytes{};
    error_code failure;
    socket_.non_blocking(true, failure);
    const std::size_t count =
        socket_.receive(asio::buffer(bytes), asio::socket_base::message_peek, failure);
    if (count > 0) {
        const bool closing = is_idle_close({bytes.data(), count});
        return closing ? idle_state::closed : idle_state::surplus;
    }
    return failure == asio::error::would_block ? idle_state::ready : idle_state::closed;
}

void caller::perform(const call& wanted, completion_handler finished)
{
    call_ = wanted;
    finished_ = std::move(finished);
    sent_ = 0;
    digest_ = fnv_basis;
    timeout_.expires_after(settings_.timeout_);
    timeout_.async_wait([self = shared_from_this()](const error_code& failure) {
        if (!failure) {
            self->finish(call_end::timeout);
        }
    });
    if (connected_) {
        write();
        return;
    }
    socket_.async_connect(host_, [self = shared_from_this()](const error_code& failure) {
        if (failure) {
            self->finish(call_end::broken);
            return;
        }
        error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
        self->connected_ = true;
        self->write();
    });
}

std::string caller::header() const
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}:{}\r\nX-Customer: {}\r\n",
                                   call_.kind_ == call_kind::commit ? "POST" : "GET", call_.target_,
                                   host_.address().to_string(), host_.port(), call_.customer_);
    if (settings_.deadline_ms_ > 0) {
        text += fmt::format("X-Deadline-Ms: {}\r\n", settings_.deadline_ms_);
    }
    if (call_.kind_ == call_kind::crashing_request) {
        text += "X-Crash: 1\r\n";
    }
    if (call_.kind_ == call_kind::commit) {
        text +=
            fmt::format("X-Commit-Id: {}\r\nContent-Length: {}\r\n", call_.commit_id_, call_.size_);
    }
    if (call_.keyed_) {
        text += fmt::format("Idempotency-Key: {}\r\n", call_.commit_id_);
    }
    return text + "\r\n";
}

void caller::write()
{
    output_ = header();
    write_body();
}

// Sends output_ and the next chunk of a commit's body, and repeats until everything is sent.
void caller::write_body()
{
    if (call_.kind_ == call_kind::commit && sent_ < call_.size_) {
        const std::size_t before = output_.size();
        const std::size_t count = std::min<std::uint64_t>(write_chunk_bytes, call_.size_ - sent_);
        output_.resize(before + count);
        const auto body = std::span{output_}.subspan(before);
        fill_content(fnv(call_.commit_id_), sent_, body);
        digest_ = fnv({body.data(), body.size()}, digest_);
        sent_ += count;
    }
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](const error_code& failure, std::size_t) {
                          self->output_.clear();
                          const bool more = self->call_.kind_ == call_kind::commit &&
                                            self->sent_ < self->call_.size_;
                          if (!failure && more) {
                              self->write_body();
                              return;
                          }
                          // After a failed write an early answer may still be readable.
                          self->parser_.emplace();
                          self->parser_->body_limit(body_limit_bytes);
                          self->parser_->get().body().seed_ = fnv(self->call_.target_);
                          self->read();
                      });
}

void caller::read()
{
    if (!finished_) {
        return;
    }
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](const error_code& failure, std::size_t n) {
                              if (!self->finished_) {
                                  return;
                              }
                              if (failure) {
                                  self->finish(call_end::broken);
                                  return;
                              }
                              if (self->parser_->is_done()) {
                                  self->on_answer_complete();
                                  return;
                              }
                              self->read_at_limited_rate(n);
                          });
}

void caller::read_at_limited_rate(std::size_t bytes)
{
    if (settings_.read_bytes_per_s_ <= 0) {
        read();
        return;
    }
    const double seconds = static_cast<double>(bytes) / settings_.read_bytes_per_s_;
    read_delay_.expires_after(duration{static_cast<duration::rep>(seconds * 1e9)});
    read_delay_.async_wait([self = shared_from_this()](const error_code& failure) {
        if (!failure) {
            self->read();
        }
    });
}

void caller::on_answer_complete()
{
    call_end end = classify_answer();
    const auto rest = input_.data();
    const bool closing = is_idle_close({static_cast<const char*>(rest.data()), rest.size()});
    if (rest.size() > 0 && !closing) {
        end = call_end::wrong; // bytes after the answer belong to no request
    }
    if (closing || !parser_->get().keep_alive()) {
        error_code ignored;
        socket_.close(ignored);
        connected_ = false;
    }
    finish(end);
}

call_end caller::classify_answer() const
{
    const auto& answer = parser_->get();
    const auto outcome = answer["Savoryscale-Outcome"];
    if (outcome == "not-run") {
        return call_end::not_run;
    }
    if (outcome == "unknown") {
        return call_end::unknown;
    }
    if (answer.result_int() != 200) {
        return call_end::refused;
    }
    const auto& body = answer.body();
    if (call_.kind_ == call_kind::commit) {
        const bool right =
            body.first_bytes_ == commit_answer(call_.commit_id_, call_.size_, digest_);
        return right ? call_end::good : call_end::wrong;
    }
    const bool right = body.is_content_ && body.size_ == call_.size_;
    return right ? call_end::good : call_end::wrong;
}

void caller::finish(call_end end)
{
    if (!finished_) {
        return;
    }
    timeout_.cancel();
    read_delay_.cancel();
    if (end == call_end::broken || end == call_end::timeout || end == call_end::wrong) {
        error_code ignored;
        socket_.close(ignored);
        connected_ = false;
    }
    if (!connected_) {
        input_.clear();
    }
    std::exchange(finished_, nullptr)(end);
}

} // namespace savoryscale::standins
