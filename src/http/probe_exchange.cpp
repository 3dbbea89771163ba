#include "http/probe_exchange.hpp"

#include "http/connection_pool.hpp"
#include "http/load_fields.hpp"
#include "http/upstream_connection.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// A later answer would be too old to describe the current load.
constexpr duration probe_timeout = 100ms;

constexpr int status_ok = 200;

} // namespace

probe_exchange::probe_exchange(event_loop& loop, std::string path)
    : loop_{loop}, path_{std::move(path)}
{
}

probe_exchange::~probe_exchange()
{
    loop_.cancel(timer_);
    if (connection_ != nullptr) {
        connection_->abandon();
    }
}

bool probe_exchange::start(connection_pool& pool)
{
    connection_ = pool.acquire(this, false);
    if (connection_ == nullptr) {
        return false;
    }
    timer_ = loop_.after(probe_timeout, [this] {
        timer_ = 0;
        give_up();
    });
    return true;
}

void probe_exchange::on_ready(upstream_connection& connection)
{
    const std::string text = fmt::format("GET {} HTTP/1.1\r\nHost: probe\r\n\r\n", path_);
    bytes_ += text.size();
    connection.send_head(text, false);
    connection.end_request();
}

bool probe_exchange::on_answer_head(const answer_head& head)
{
    status_ = head.status_;
    from_fields_ = read_load(head);
    for (const header_field& field : head.fields_) {
        bytes_ += field.name_.size() + field.value_.size() + 4; // ": " and CRLF
    }
    return true;
}

void probe_exchange::on_answer_body(std::string_view bytes)
{
    bytes_ += bytes.size();
    if (bytes_ > probe_bytes_max) {
        give_up();
        return;
    }
    body_.append(bytes);
}

void probe_exchange::on_answer_complete()
{
    connection_ = nullptr;
    if (status_ != status_ok) {
        finish(std::nullopt);
        return;
    }
    finish(from_fields_ ? from_fields_ : parse_load(body_));
}

void probe_exchange::on_failed(exchange_failure /*failure*/)
{
    connection_ = nullptr;
    finish(std::nullopt);
}

void probe_exchange::give_up()
{
    std::exchange(connection_, nullptr)->abandon();
    finish(std::nullopt);
}

void probe_exchange::finish(std::optional<routing::load_report> load)
{
    loop_.cancel(std::exchange(timer_, 0));
    std::exchange(done_, {})(load, bytes_);
}

} // namespace savoryscale::http
