#include "http/upstream_connection.hpp"

#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "http/upstream_exchange.hpp"

#include <utility>

namespace savoryscale::http {

namespace {

constexpr std::uint32_t max_answer_header_bytes = 65536;
constexpr int first_final_status = 200;

// Answers dropped while one request waits for its own: informational ones and those to earlier
// requests. With more of them, or with more bytes in those to earlier requests, the connection is
// closed, since the target may send them without end.
constexpr int dropped_answers_max = 16;
constexpr std::size_t skipped_bytes_max = 131072;

} // namespace

upstream_connection::upstream_connection(connection_pool& pool, time_point now, bool spare)
    : pool_{pool}, reader_{max_answer_header_bytes}, last_verified_{now}, spare_{spare}
{
}

upstream_connection::~upstream_connection()
{
    close_socket();
}

void upstream_connection::close_socket()
{
    exchange_ = nullptr;
    if (stream_ != nullptr) {
        std::exchange(stream_, nullptr)->close();
    }
}

void upstream_connection::assign(upstream_exchange* exchange)
{
    exchange_ = exchange;
    head_delivered_ = false;
    skipping_ = false;
    dropped_answers_ = 0;
    skipped_bytes_ = 0;
    head_sent_ = false;
    request_ended_ = false;
    written_before_ = stream_ == nullptr ? 0 : stream_->bytes_written();
    if (open_ && exchange_ != nullptr) {
        exchange_->on_ready(*this);
    }
}

void upstream_connection::send_head(std::string_view text, bool without_body)
{
    is_head_request_ = without_body;
    reader_.next(without_body);
    head_sent_ = true;
    stream_->write(text);
}

void upstream_connection::send_body(std::string_view text)
{
    stream_->write(text);
}

std::size_t upstream_connection::queued() const
{
    return stream_ == nullptr ? 0 : stream_->queued();
}

std::size_t upstream_connection::held_bytes() const
{
    return stream_ == nullptr ? 0 : stream_->held_bytes();
}

bool upstream_connection::may_have_sent_request() const
{
    return head_sent_ && (stream_ == nullptr || stream_->bytes_written() > written_before_);
}

void upstream_connection::pause_reading()
{
    if (stream_ != nullptr) {
        stream_->pause_reading();
    }
}

void upstream_connection::resume_reading()
{
    if (stream_ != nullptr) {
        stream_->resume_reading();
    }
}

void upstream_connection::abandon()
{
    exchange_ = nullptr;
    pool_.connection_released(*this, false);
}

void upstream_connection::on_connected()
{
    open_ = true;
    if (pool_.keeps_alive()) {
        stream_->enable_tcp_keepalive();
    }
    last_verified_ = pool_.loop().now();
    if (exchange_ != nullptr) {
        exchange_->on_ready(*this);
    }
    else {
        pool_.connection_opened(*this);
    }
}

void upstream_connection::on_data(std::string_view bytes)
{
    // Bytes that arrive before any of a request was sent are not an answer to it.
    if (exchange_ == nullptr || !may_have_sent_request()) {
        pool_.connection_poisoned();
        fail();
        return;
    }
    body_.clear();
    if (!reader_.feed(bytes, body_)) {
        fail();
        return;
    }
    deliver();
}

// Passes the parsed head and body to the exchange. Drops interim answers (1xx).
void upstream_connection::deliver()
{
    while (reader_.has_head() && reader_.head().status_ < first_final_status) {
        reader_.next(is_head_request_);
        if (++dropped_answers_ > dropped_answers_max || !reader_.feed({}, body_)) {
            fail();
            return;
        }
    }
    if (!reader_.has_head()) {
        return;
    }
    upstream_exchange* const receiver = exchange_;
    if (!head_delivered_) {
        head_delivered_ = true;
        last_verified_ = pool_.loop().now();
        skipping_ = !receiver->on_answer_head(reader_.head());
        if (exchange_ != receiver) {
            return;
        }
    }
    if (skipping_) {
        skip();
        return;
    }
    if (exchange_ == receiver && !body_.empty()) {
        receiver->on_answer_body(body_);
    }
    if (exchange_ == receiver && reader_.complete()) {
        complete();
    }
}

// Discards an answer to an earlier request, then continues with the one that is awaited.
void upstream_connection::skip()
{
    skipped_bytes_ += body_.size();
    body_.clear();
    if (skipped_bytes_ > skipped_bytes_max) {
        fail();
        return;
    }
    if (!reader_.complete()) {
        return;
    }
    ++pool_.skipped();
    skipping_ = false;
    head_delivered_ = false;
    reader_.next(is_head_request_);
    if (++dropped_answers_ > dropped_answers_max || !reader_.feed({}, body_)) {
        fail();
        return;
    }
    deliver();
}

void upstream_connection::complete()
{
    const bool surplus = reader_.pending_bytes() > 0;
    if (surplus) {
        pool_.connection_poisoned();
    }
    const bool reusable = !surplus && request_ended_ && reader_.head().keep_alive_ && queued() == 0;
    upstream_exchange* const receiver = std::exchange(exchange_, nullptr);
    last_verified_ = pool_.loop().now();
    resume_reading();
    pool_.connection_released(*this, reusable);
    receiver->on_answer_complete();
}

// Closes the connection and reports the failure to the exchange, if there is one.
void upstream_connection::fail()
{
    upstream_exchange* const receiver = std::exchange(exchange_, nullptr);
    const bool was_sent = may_have_sent_request();
    pool_.connection_released(*this, false);
    if (receiver != nullptr) {
        receiver->on_failed(was_sent ? exchange_failure::broken : exchange_failure::unsent);
    }
}

void upstream_connection::on_drained()
{
    if (exchange_ != nullptr) {
        exchange_->on_drained();
    }
}

void upstream_connection::on_closed()
{
    const bool was_sent = may_have_sent_request();
    const bool in_order = stream_->is_closed_cleanly();
    stream_ = nullptr;
    if (exchange_ != nullptr && head_delivered_ && !skipping_ && in_order &&
        reader_.ends_with_connection()) {
        upstream_exchange* const receiver = std::exchange(exchange_, nullptr);
        pool_.connection_closed(*this);
        receiver->on_answer_complete();
        return;
    }
    upstream_exchange* const receiver = std::exchange(exchange_, nullptr);
    const bool was_open = open_;
    if (!was_open) {
        pool_.connection_refused();
    }
    pool_.connection_closed(*this);
    if (receiver == nullptr) {
        return;
    }
    if (!was_open) {
        receiver->on_failed(exchange_failure::refused);
    }
    else {
        receiver->on_failed(was_sent ? exchange_failure::broken : exchange_failure::unsent);
    }
}

} // namespace savoryscale::http
