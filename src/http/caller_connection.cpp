#include "http/caller_connection.hpp"

#include "http/front.hpp"
#include "http/proxied_call.hpp"

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// After the last answer, input is discarded for this long so that the answer is not lost to a
// reset.
constexpr duration linger_time = 2s;

// Bytes of further requests held while one is being answered; reading stops above it.
constexpr std::size_t pipelined_bytes_max = 65536;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_header_too_large = 431;
constexpr int status_timeout = 408;

} // namespace

caller_connection::caller_connection(front& owner, socket& stream)
    : front_{owner}, stream_{&stream}, reader_{owner.limits().max_header_bytes_}
{
    expect_activity(front_.limits().idle_timeout_);
}

caller_connection::~caller_connection()
{
    front_.loop().cancel(activity_timer_);
    if (stream_ != nullptr) {
        stream_->close();
    }
}

bool caller_connection::is_busy() const
{
    return call_ != nullptr || header_started_;
}

std::size_t caller_connection::queued() const
{
    return stream_ == nullptr ? 0 : stream_->queued();
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
    if (!header_started_ && call_ == nullptr) {
        header_started_ = true;
        expect_activity(front_.limits().header_timeout_);
    }
    read_on(bytes);
}

// Feeds the reader and passes on what it yields, through as many requests as are complete.
void caller_connection::read_on(std::string_view bytes)
{
    body_.clear();
    const auto fed = reader_.feed(bytes, body_);
    if (!fed) {
        refuse_malformed(fed.error());
        return;
    }
    if (call_ == nullptr && !request_ended_ && reader_.has_head()) {
        start_call();
    }
    if (call_ != nullptr && !request_ended_ && !body_.empty()) {
        call_->on_request_body(body_);
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
    const request_head& head = reader_.head();
    header_started_ = false;
    activity_due_ = time_point::max();
    head_request_ = head.method_ == "HEAD";
    answer_close_ = !head.keep_alive_ || front_.is_stopping();
    call_ = std::make_unique<proxied_call>(front_, *this, head);
    call_->start();
}

// A request that cannot be read is refused if it has not been passed on, else broken off.
void caller_connection::refuse_malformed(const error& fault)
{
    front_.metrics().requests_[telemetry::request_end::malformed].Increment();
    if (call_ != nullptr) {
        call_->on_caller_gone();
        break_off();
        return;
    }
    const int status =
        fault.kind_ == error_kind::exhausted ? status_header_too_large : status_bad_request;
    stream_->write(
        local_answer_text({status, "not-run", to_string(fault), std::nullopt, true}, false));
    leave();
}

void caller_connection::begin_answer(answer_head head)
{
    const bool has_body =
        !head_request_ && head.status_ != status_no_content && head.status_ != status_not_modified;
    if (has_body && !head.content_length_ && !head.chunked_) {
        head.chunked_ = true; // it ended with the target's connection; this one may go on
    }
    if (!reader_.complete() || front_.is_stopping()) {
        answer_close_ = true; // the rest of the request will not be read
    }
    answer_chunked_ = head.chunked_ && !head_request_;
    if (stream_ != nullptr) {
        stream_->write(caller_answer_text(head, answer_close_, front_.config().header_names_));
    }
}

void caller_connection::answer_body(std::string_view bytes)
{
    if (stream_ != nullptr) {
        stream_->write(answer_chunked_ ? chunk_text(bytes) : std::string{bytes});
    }
}

void caller_connection::end_answer()
{
    if (answer_chunked_ && stream_ != nullptr) {
        stream_->write(chunk_text({}));
    }
    finish_answer();
}

void caller_connection::answer_locally(local_answer answer)
{
    if (!reader_.complete() || front_.is_stopping()) {
        answer_close_ = true;
    }
    answer.close_ = answer_close_;
    answer.fractional_ = front_.config().listen_.fractional_retry_after_;
    if (stream_ != nullptr) {
        stream_->write(local_answer_text(answer, head_request_));
    }
    finish_answer();
}

// Ends the present call and turns to the next request, or ends the connection.
void caller_connection::finish_answer()
{
    front_.loop().retire(std::move(call_));
    answer_chunked_ = false;
    if (stream_ == nullptr) {
        return;
    }
    if (answer_close_) {
        leave();
        return;
    }
    request_ended_ = false;
    reader_.next();
    resume_reading();
    expect_activity(front_.limits().idle_timeout_);
    if (reader_.pending_bytes() > 0) {
        // Not from here: the call that just ended is still on the stack.
        header_started_ = true;
        front_.resume_later(*this);
    }
    else if (front_.ends_idle_callers()) {
        end_idle();
    }
}

void caller_connection::break_off()
{
    if (call_ != nullptr) {
        front_.loop().retire(std::move(call_));
    }
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->close();
    }
    front_.forget(*this);
}

// Sends what is queued and ends the connection from this side.
void caller_connection::leave()
{
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->finish(linger_time);
    }
    front_.forget(*this);
}

void caller_connection::stop()
{
    if (!is_busy()) {
        end_idle();
    }
}

// A request may be on its way while we close. It will not be run, so it is answered ahead.
void caller_connection::end_idle()
{
    if (stream_ != nullptr) {
        stream_->write(local_answer_text({status_timeout, "not-run",
                                          "connection closed while idle; send again on another",
                                          std::nullopt, true},
                                         false));
    }
    leave();
}

// The connection is ended unless something happens on it within this time.
void caller_connection::expect_activity(duration within)
{
    activity_due_ = front_.loop().now() + within;
    if (activity_timer_ == 0) {
        activity_timer_ = front_.loop().at(activity_due_, [this] { check_activity(); });
    }
}

void caller_connection::check_activity()
{
    activity_timer_ = 0;
    if (activity_due_ == time_point::max()) {
        return; // a call is in progress; it has its own time-outs
    }
    if (front_.loop().now() < activity_due_) {
        activity_timer_ = front_.loop().at(activity_due_, [this] { check_activity(); });
        return;
    }
    end_idle();
}

void caller_connection::on_drained()
{
    if (call_ != nullptr) {
        call_->on_caller_drained();
    }
}

void caller_connection::on_closed()
{
    stream_ = nullptr;
    if (call_ != nullptr) {
        call_->on_caller_gone();
        front_.loop().retire(std::move(call_));
    }
    front_.forget(*this);
}

} // namespace savoryscale::http
