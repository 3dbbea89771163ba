#include "http/caller_connection.hpp"

#include "http/http_task.hpp"
#include "http/proxied_call.hpp"

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// After the last answer, input is read and discarded for this long. Closing with unread input would
// reset the connection, and the answer could be lost.
constexpr duration linger_time = 2s;

// A stopping host waits this long for the first request of a connection: the caller has opened it
// to send one.
constexpr duration first_request_time = 500ms;

// Limit on buffered bytes of further requests while one is being answered; reading pauses above it.
constexpr std::size_t pipelined_bytes_max = 16384;

// Fields that another host adds to the head of a request.
constexpr std::uint32_t relay_header_bytes = 1024;

// What an open connection needs by itself, with its socket and its parser.
constexpr std::size_t connection_bytes = 4096;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_header_too_large = 431;
constexpr int status_timeout = 408;

} // namespace

caller_connection::caller_connection(http_task& owner, socket& stream, bool is_host)
    : http_task_{owner},
      stream_{&stream},
      reader_{owner.limits().max_header_bytes_ + (is_host ? relay_header_bytes : 0)},
      is_host_{is_host},
      progress_at_{owner.loop().now()}
{
    set_activity_deadline(http_task_.limits().idle_timeout_);
}

caller_connection::~caller_connection()
{
    http_task_.loop().cancel(activity_timer_);
    http_task_.change_held(accounted_bytes_, 0);
    if (stream_ != nullptr) {
        stream_->close();
    }
}

bool caller_connection::is_busy() const
{
    return call_ != nullptr || header_started_;
}

std::string_view caller_connection::ip() const
{
    return stream_ == nullptr ? std::string_view{} : stream_->peer_ip();
}

std::size_t caller_connection::queued() const
{
    return stream_ == nullptr ? 0 : stream_->queued();
}

std::size_t caller_connection::held_bytes() const
{
    return connection_bytes + (stream_ == nullptr ? 0 : stream_->held_bytes()) +
           reader_.held_bytes() + (call_ == nullptr ? 0 : call_->held_bytes());
}

// Adds what has changed to the host's account.
void caller_connection::account()
{
    const std::size_t held = held_bytes();
    http_task_.change_held(std::exchange(accounted_bytes_, held), held);
}

admission::holder_phase caller_connection::phase() const
{
    using admission::holder_phase;
    if (queued() > 0) {
        return holder_phase::unread;
    }
    if (call_ != nullptr) {
        if (request_ended_) {
            return holder_phase::working;
        }
        return call_->is_dispatched() ? holder_phase::sending_body : holder_phase::reading_body;
    }
    if (header_started_) {
        return holder_phase::reading_head;
    }
    return had_request_ ? holder_phase::idle : holder_phase::unused;
}

void caller_connection::give_way()
{
    http_task_.metrics().callers_given_up_.Increment();
    switch (phase()) {
    case admission::holder_phase::unused:
    case admission::holder_phase::idle:
    case admission::holder_phase::reading_head:
        close_idle();
        return;
    case admission::holder_phase::reading_body:
        call_->refuse_for_room();
        return;
    default:
        if (call_ != nullptr) {
            call_->on_caller_gone();
        }
        close_abruptly();
    }
}

void caller_connection::pause_reading()
{
    if (stream_ != nullptr) {
        stream_->pause_reading();
    }
}

void caller_connection::resume_reading()
{
    if (stream_ != nullptr) {
        stream_->resume_reading();
    }
}

void caller_connection::send_continue()
{
    if (stream_ != nullptr) {
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::on_data(std::string_view bytes)
{
    const bool begins = !header_started_ && call_ == nullptr;
    header_started_ = header_started_ || begins;
    progress_at_ = http_task_.loop().now();
    read_request(bytes);
    if (stream_ == nullptr) {
        return;
    }
    if (begins && header_started_) {
        shorten_activity_deadline(http_task_.limits().header_timeout_);
    }
    account();
    const bool is_working = phase() == admission::holder_phase::working &&
                            reader_.pending_bytes() <= pipelined_bytes_max;
    if (!is_working && http_task_.must_give_way(accounted_bytes_)) {
        give_way();
    }
}

// Feeds the reader and passes the head, body and end of the request to its call.
void caller_connection::read_request(std::string_view bytes)
{
    std::string& body = http_task_.read_buffer();
    body.clear();
    const auto fed = reader_.feed(bytes, body);
    if (!fed) {
        reject_malformed(fed.error());
        return;
    }
    if (call_ == nullptr && !request_ended_ && reader_.has_head()) {
        start_call();
    }
    if (call_ != nullptr && !request_ended_ && !body.empty()) {
        call_->on_request_body(body);
    }
    if (call_ != nullptr && !request_ended_ && reader_.complete()) {
        request_ended_ = true;
        call_->on_request_end();
    }
    if (reader_.complete() && reader_.pending_bytes() > pipelined_bytes_max) {
        pause_reading();
    }
}

void caller_connection::start_call()
{
    request_head head = reader_.take_head();
    header_started_ = false;
    had_request_ = true;
    awaits_drain_ = false;
    activity_deadline_ = time_point::max();
    is_head_request_ = head.method_ == "HEAD";
    close_after_answer_ = !head.keep_alive_;
    call_ = std::make_unique<proxied_call>(http_task_, *this, std::move(head));
    call_->start();
}

// Rejects a malformed request; if its call has already started, closes the connection instead.
void caller_connection::reject_malformed(const error& parse_error)
{
    http_task_.metrics().requests_[telemetry::request_end::malformed].Increment();
    if (call_ != nullptr) {
        call_->on_caller_gone();
        close_abruptly();
        return;
    }
    const int status =
        parse_error.kind_ == error_kind::exhausted ? status_header_too_large : status_bad_request;
    stream_->write(
        local_answer_text({status, "not-run", to_string(parse_error), std::nullopt, true}, false));
    close_gracefully();
}

void caller_connection::begin_answer(answer_head head)
{
    const bool has_body = !is_head_request_ && head.status_ != status_no_content &&
                          head.status_ != status_not_modified;
    if (has_body && !head.content_length_ && !head.chunked_) {
        // The end of the target's connection delimited the body; this connection may stay open.
        head.chunked_ = true;
    }
    close_after_answer_ = close_after_answer_ || is_last_answer();
    answer_chunked_ = has_body && head.chunked_;
    if (stream_ != nullptr) {
        stream_->write(
            caller_answer_text(head, close_after_answer_, http_task_.config().header_names_));
    }
}

void caller_connection::answer_body(std::string_view bytes)
{
    if (stream_ != nullptr) {
        stream_->write(answer_chunked_ ? chunk_text(bytes) : std::string{bytes});
        account();
    }
}

void caller_connection::end_answer()
{
    if (answer_chunked_ && stream_ != nullptr) {
        stream_->write(last_chunk);
    }
    end_call();
}

void caller_connection::answer_locally(local_answer answer)
{
    close_after_answer_ = close_after_answer_ || is_last_answer();
    answer.close_ = close_after_answer_;
    answer.fractional_ = http_task_.config().listen_.fractional_retry_after_;
    if (stream_ != nullptr) {
        stream_->write(local_answer_text(answer, is_head_request_));
    }
    end_call();
}

// Whether the connection closes after the answer to the current request: the rest of the request
// will not be read, or the host stops and has read no further request.
bool caller_connection::is_last_answer() const
{
    return !reader_.complete() || (http_task_.is_stopping() && reader_.pending_bytes() == 0);
}

// Ends the current call, then closes the connection or prepares for the next request.
void caller_connection::end_call()
{
    http_task_.loop().destroy_later(std::move(call_));
    account();
    answer_chunked_ = false;
    if (stream_ == nullptr) {
        return;
    }
    if (close_after_answer_) {
        close_gracefully();
        return;
    }
    request_ended_ = false;
    reader_.next();
    awaits_drain_ = queued() > http_task_.body_limit(queue_high_bytes);
    if (awaits_drain_) {
        pause_reading();
        set_activity_deadline(http_task_.limits().idle_timeout_);
        return;
    }
    begin_next();
}

// Reads the next request, or closes the connection if the host is stopping.
void caller_connection::begin_next()
{
    resume_reading();
    set_activity_deadline(http_task_.limits().idle_timeout_);
    if (reader_.pending_bytes() > 0) {
        // Deferred, because the call that just ended is still on the stack.
        header_started_ = true;
        http_task_.resume_later(*this);
    }
    else if (http_task_.closes_idle_callers()) {
        close_idle();
    }
}

void caller_connection::close_abruptly()
{
    if (call_ != nullptr) {
        http_task_.loop().destroy_later(std::move(call_));
    }
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->close();
    }
    http_task_.remove_caller(*this);
}

// Sends the queued output, then closes the connection.
void caller_connection::close_gracefully()
{
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->finish(linger_time);
    }
    http_task_.remove_caller(*this);
}

void caller_connection::stop()
{
    if (is_busy()) {
        return;
    }
    if (had_request_) {
        close_idle();
        return;
    }
    shorten_activity_deadline(first_request_time);
}

void caller_connection::on_host_stopping()
{
    if (call_ != nullptr) {
        call_->on_host_stopping();
    }
    else if (http_task_.loop().now() >= answer_deadline(*http_task_.stop_schedule())) {
        close_idle();
    }
}

// A request may be in transit during the close. It will not run, so a 408 that says so is sent in
// advance.
void caller_connection::close_idle()
{
    if (stream_ != nullptr) {
        stream_->write(local_answer_text({status_timeout, "not-run",
                                          "connection closed while idle; send again on another",
                                          std::nullopt, true},
                                         false));
    }
    close_gracefully();
}

// Closes the connection unless there is activity on it within `within`.
void caller_connection::set_activity_deadline(duration within)
{
    activity_deadline_ = http_task_.loop().now() + within;
    if (activity_timer_ == 0) {
        activity_timer_ = http_task_.loop().at(activity_deadline_, [this] { on_activity_timer(); });
    }
}

// The same, with a deadline that may be before the one in force.
void caller_connection::shorten_activity_deadline(duration within)
{
    http_task_.loop().cancel(std::exchange(activity_timer_, 0));
    set_activity_deadline(within);
}

void caller_connection::on_activity_timer()
{
    activity_timer_ = 0;
    if (activity_deadline_ == time_point::max()) {
        return; // a call is in progress and has its own timeouts
    }
    if (http_task_.loop().now() < activity_deadline_) {
        activity_timer_ = http_task_.loop().at(activity_deadline_, [this] { on_activity_timer(); });
        return;
    }
    close_idle();
}

void caller_connection::on_drained()
{
    progress_at_ = http_task_.loop().now();
    account();
    if (call_ != nullptr) {
        call_->on_caller_drained();
    }
    else if (std::exchange(awaits_drain_, false)) {
        begin_next();
    }
}

void caller_connection::on_closed()
{
    stream_ = nullptr;
    if (call_ != nullptr) {
        call_->on_caller_gone();
        http_task_.loop().destroy_later(std::move(call_));
    }
    http_task_.remove_caller(*this);
}

} // namespace savoryscale::http
