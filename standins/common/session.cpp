#include "common/session.hpp"

#include "common/content.hpp"
#include "common/target.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace savoryscale::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t write_chunk_bytes = 65536;
constexpr std::size_t input_limit_bytes = 262144;
constexpr std::uint64_t default_size_bytes = 256;
constexpr std::uint64_t body_limit_bytes = std::uint64_t{1} << 40;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || end.ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

duration from_ms(double ms)
{
    return duration{static_cast<duration::rep>(ms * 1e6)};
}

// Time to transfer `bytes` at `bytes_per_s`; zero if the rate is 0 (unlimited).
duration transfer_time(std::size_t bytes, double bytes_per_s)
{
    return bytes_per_s > 0 ? from_ms(1000.0 * static_cast<double>(bytes) / bytes_per_s)
                           : duration{};
}

struct byte_range {
    std::uint64_t first_ = 0;
    std::uint64_t last_ = 0;
};

// Parses a single range "bytes=FIRST-[LAST]" of a resource of `size` bytes, if it is satisfiable.
std::optional<byte_range> parse_range(std::string_view text, std::uint64_t size)
{
    constexpr std::string_view unit = "bytes=";
    const auto dash = text.find('-');
    if (text.substr(0, unit.size()) != unit || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto first = to_number(text.substr(unit.size(), dash - unit.size()));
    const auto last = to_number(text.substr(dash + 1)).value_or(size - 1);
    if (!first || *first >= size || last < *first) {
        return std::nullopt;
    }
    return byte_range{*first, std::min(last, size - 1)};
}

std::uint64_t total_size(const std::deque<segment>& pieces)
{
    std::uint64_t total = 0;
    for (const auto& piece : pieces) {
        total += piece.text_.size() + piece.size_;
    }
    return total;
}

// Truncates an answer in the middle of its last piece, the body.
void truncate_body(std::deque<segment>& pieces)
{
    segment& body = pieces.back();
    body.size_ /= 2;
    body.text_.resize(body.text_.size() / 2);
}

} // namespace

session::session(asio::ip::tcp::socket socket, target& owner)
    : socket_{std::move(socket)},
      owner_{owner},
      read_pause_{owner.io()},
      write_pause_{owner.io()},
      stall_{owner.io()}
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
}

void session::start()
{
    run_after(read_pause_, from_ms(owner_.behaviour_.open_us_ / 1000.0), &session::read);
}

void session::run_after(asio::steady_timer& timer, duration delay, void (session::*next)())
{
    if (delay <= duration{}) {
        (this->*next)();
        return;
    }
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), next](const error_code& failure) {
        if (!failure) {
            ((*self).*next)();
        }
    });
}

void session::read()
{
    if (reading_ || closed_ || input_.size() >= input_limit_bytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](const error_code& failure, std::size_t n) {
                                self->reading_ = false;
                                if (failure) {
                                    self->close();
                                    return;
                                }
                                self->on_read(n);
                            });
}

void session::on_read(std::size_t count)
{
    if (!silent_) {
        const auto room = input_.prepare(count);
        std::copy_n(chunk_.data(), count, static_cast<char*>(room.data()));
        input_.commit(count);
        parse();
    }
    if (!closed_) {
        run_after(read_pause_, transfer_time(count, owner_.behaviour_.upload_bytes_per_s_),
                  &session::read);
    }
}

void session::parse()
{
    while (!busy_ && !closed_ && !silent_ && input_.size() > 0) {
        if (!parser_) {
            parser_.emplace();
            parser_->eager(true);
            parser_->body_limit(body_limit_bytes);
        }
        error_code failure;
        const std::size_t used = parser_->put(input_.data(), failure);
        input_.consume(used);
        if (failure && failure != http::error::need_more) {
            close();
            return;
        }
        if (parser_->is_done()) {
            busy_ = true;
            const request received = parser_->release();
            parser_.reset();
            handle(received);
            return;
        }
        if (used == 0) {
            return;
        }
    }
}

void session::handle(const request& received)
{
    if (handle_probe(received)) {
        return;
    }
    owner_.count_request();
    deadline_.reset();
    if (const auto ms = to_number(view(received["X-Deadline-Ms"]))) {
        deadline_ = monotonic_now() + std::chrono::milliseconds{*ms};
    }
    if (received.count("X-Crash") > 0) {
        const std::string id{view(received["X-Commit-Id"])};
        if (!id.empty()) {
            ++owner_.shared().commits_[id].started_;
        }
        asio::post(owner_.io(), [&owner = owner_] { owner.crash(); });
        return;
    }
    apply_fault(owner_.queue_full() ? fault::shed
                                    : draw_fault(owner_.behaviour_.faults_, owner_.random()),
                received);
}

// Answers the health and load endpoints, which take no slot.
bool session::handle_probe(const request& received)
{
    const std::string_view path = view(received.target());
    if (path != "/load" && path != "/health") {
        return false;
    }
    owner_.count_probe();
    const auto load = owner_.reported_load();
    const bool healthy = owner_.reports_healthy();
    std::string text = path == "/health" ? (healthy ? "ok\n" : "draining\n")
                                         : fmt::format("{{\"in_flight\": {}, \"utilization\": "
                                                       "{:.3f}, \"draining\": {}}}\n",
                                                       load.in_flight_, load.utilization_,
                                                       healthy ? "false" : "true");
    const int status = path == "/health" && !healthy ? 503 : 200;
    std::deque<segment> pieces;
    pieces.push_back({header(status, text.size(), {}), 0, 0, 0});
    pieces.push_back({std::move(text), 0, 0, 0});
    send(std::move(pieces), false);
    return true;
}

void session::apply_fault(fault injected, const request& received)
{
    owner_.counters_.faults_ += injected == fault::none ? 0 : 1;
    switch (injected) {
    case fault::shed:
        ++owner_.counters_.shed_;
        send({{header(503, 0, "X-Shed: 1\r\n"), 0, 0, 0}}, false);
        return;
    case fault::fail_fast: {
        ++owner_.counters_.failed_;
        const std::string id{view(received["X-Commit-Id"])};
        if (!id.empty() && uniform_unit(owner_.random()) < 0.5) {
            ++owner_.shared().commits_[id].started_;
            ++owner_.shared().commits_[id].ran_;
        }
        send({{header(500, 0, {}), 0, 0, 0}}, false);
        return;
    }
    case fault::silence:
        submit(injected, received);
        owner_.silence();
        return;
    default:
        submit(injected, received);
    }
}

void session::submit(fault injected, const request& received)
{
    job work;
    work.commit_id_ = std::string{view(received["X-Commit-Id"])};
    work.expires_ = deadline_;
    work.finished_ = [self = shared_from_this(), injected, received](bool ran) {
        self->job_ = 0;
        if (self->closed_ || self->silent_) {
            return;
        }
        if (!ran) {
            self->send({{self->header(503, 0, "X-Shed: 1\r\n"), 0, 0, 0}}, false);
            return;
        }
        self->answer(injected, received);
    };
    job_ = owner_.submit(std::move(work));
}

void session::answer(fault injected, const request& received)
{
    if (injected == fault::stall) {
        close_after(from_ms(owner_.behaviour_.stall_ms_));
        return;
    }
    if (injected == fault::late) {
        answer_late(received);
        return;
    }
    auto pieces = complete_answer(received);
    if (injected == fault::truncate) {
        truncate_body(pieces);
    }
    if (injected == fault::twice) {
        const auto again = pieces;
        pieces.insert(pieces.end(), again.begin(), again.end());
    }
    if (injected == fault::surplus) {
        pieces.push_back({"HTTP/1.1 surplus bytes", 0, 0, 0});
    }
    const bool then_close = injected == fault::truncate || !received.keep_alive();
    send(std::move(pieces), then_close);
}

void session::answer_late(const request& received)
{
    const time_point now = monotonic_now();
    const duration left = std::max(duration{}, deadline_.value_or(now) - now);
    stall_.expires_after(left + from_ms(owner_.behaviour_.late_ms_));
    stall_.async_wait([self = shared_from_this(), received](const error_code& failure) {
        if (!failure && !self->closed_ && !self->silent_) {
            self->send(self->complete_answer(received), false);
        }
    });
}

std::string session::header(int status, std::uint64_t length, std::string_view extra)
{
    const auto load = owner_.reported_load();
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\nX-Load-In-Flight: {}\r\n"
                       "X-Load-Utilization: {:.3f}\r\n{}{}\r\n",
                       status, view(reason), length, load.in_flight_, load.utilization_,
                       owner_.draining() ? "X-Draining: 1\r\n" : "", extra);
}

std::deque<segment> session::complete_answer(const request& received)
{
    if (received.method() == http::verb::get || received.method() == http::verb::head) {
        return content_answer(received);
    }
    const auto& body = received.body();
    std::string text = commit_answer(view(received["X-Commit-Id"]), body.size_, body.digest_);
    std::deque<segment> pieces;
    pieces.push_back({header(200, text.size(), {}), 0, 0, 0});
    pieces.push_back({std::move(text), 0, 0, 0});
    return pieces;
}

std::deque<segment> session::content_answer(const request& received)
{
    const std::string_view path = view(received.target());
    const std::uint64_t seed = fnv(path);
    const std::uint64_t size = to_number(query_value(path, "size")).value_or(default_size_bytes);
    const std::string etag = content_etag(seed, size);
    std::string extra = fmt::format("ETag: {}\r\nAccept-Ranges: bytes\r\n", etag);
    byte_range sent{0, size - 1};
    int status = 200;
    const auto condition = view(received[http::field::if_range]);
    const auto range = parse_range(view(received[http::field::range]), size);
    if (range && (condition.empty() || condition == etag)) {
        sent = *range;
        status = 206;
        extra += fmt::format("Content-Range: bytes {}-{}/{}\r\n", sent.first_, sent.last_, size);
    }
    const std::uint64_t length = size == 0 ? 0 : sent.last_ - sent.first_ + 1;
    std::deque<segment> pieces;
    pieces.push_back({header(status, length, extra), 0, 0, 0});
    if (received.method() == http::verb::get && length > 0) {
        pieces.push_back({{}, seed, sent.first_, length});
    }
    return pieces;
}

void session::send(std::deque<segment> pieces, bool then_close)
{
    if (closed_ || silent_) {
        return;
    }
    pieces_ = std::move(pieces);
    close_when_sent_ = then_close;
    write_next();
}

// Sends up to write_chunk_bytes of the remaining answer, and repeats until all of it is sent.
void session::write_next()
{
    if (closed_ || silent_) {
        return;
    }
    output_.clear();
    while (!pieces_.empty() && output_.size() < write_chunk_bytes) {
        segment& next = pieces_.front();
        output_ += std::exchange(next.text_, {});
        const std::uint64_t count = std::min<std::uint64_t>(
            next.size_, write_chunk_bytes - std::min(write_chunk_bytes, output_.size()));
        const std::size_t before = output_.size();
        output_.resize(before + count);
        fill_content(next.seed_, next.offset_, std::span{output_}.subspan(before));
        next.offset_ += count;
        next.size_ -= count;
        if (next.size_ == 0) {
            pieces_.pop_front();
        }
    }
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](const error_code& failure, std::size_t n) {
            if (failure) {
                self->close();
                return;
            }
            const bool done = total_size(self->pieces_) == 0;
            self->run_after(
                self->write_pause_,
                transfer_time(n, done ? 0 : self->owner_.behaviour_.download_bytes_per_s_),
                done ? &session::on_sent : &session::write_next);
        });
}

void session::on_sent()
{
    if (close_when_sent_) {
        close();
        return;
    }
    busy_ = false;
    parse();
    read();
}

void session::close_if_idle()
{
    if (!busy_ && !parser_ && input_.size() == 0) {
        close();
    }
}

void session::abort()
{
    error_code ignored;
    socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
    close();
}

void session::silence()
{
    silent_ = true;
    read_pause_.cancel();
    read();
}

void session::close_after(duration delay)
{
    stall_.expires_after(delay);
    stall_.async_wait([self = shared_from_this()](const error_code& failure) {
        if (!failure) {
            self->close();
        }
    });
}

void session::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    read_pause_.cancel();
    write_pause_.cancel();
    stall_.cancel();
    if (job_ != 0) {
        owner_.cancel(std::exchange(job_, 0));
    }
    owner_.remove(shared_from_this());
}

} // namespace savoryscale::standins
