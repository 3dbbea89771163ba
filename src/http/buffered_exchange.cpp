#include "http/buffered_exchange.hpp"

#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "http/upstream_connection.hpp"

#include <utility>

namespace savoryscale::http {

buffered_exchange::buffered_exchange(event_loop& loop, std::string request, std::size_t body_max)
    : loop_{loop}, request_{std::move(request)}, body_max_{body_max}
{
}

buffered_exchange::~buffered_exchange()
{
    loop_.cancel(timer_);
    if (connection_ != nullptr) {
        connection_->abandon();
    }
}

bool buffered_exchange::start(connection_pool& pool, duration timeout, done_function done)
{
    done_ = std::move(done);
    pool_ = &pool;
    started_ = loop_.now();
    timer_ = loop_.after(timeout, [this] {
        timer_ = 0;
        pool_->close_idle_unverified_since(started_);
        give_up(buffered_answer::end::timeout);
    });
    upstream_connection* connection = pool.acquire(this, false);
    if (connection == nullptr) {
        loop_.cancel(std::exchange(timer_, 0));
        return false;
    }
    if (done_) {
        connection_ = connection;
    }
    return true;
}

void buffered_exchange::on_ready(upstream_connection& connection)
{
    connection_ = &connection;
    connection.send_head(request_, false);
    connection.end_request();
}

bool buffered_exchange::on_answer_head(const answer_head& head)
{
    answer_.head_ = head;
    return true;
}

void buffered_exchange::on_answer_body(std::string_view bytes)
{
    if (answer_.body_.size() + bytes.size() > body_max_) {
        give_up(buffered_answer::end::broken);
        return;
    }
    answer_.body_.append(bytes);
}

void buffered_exchange::on_answer_complete()
{
    connection_ = nullptr;
    finish(buffered_answer::end::answered);
}

void buffered_exchange::on_failed(exchange_failure failure)
{
    connection_ = nullptr;
    finish(failure == exchange_failure::refused  ? buffered_answer::end::refused
           : failure == exchange_failure::unsent ? buffered_answer::end::not_sent
                                                 : buffered_answer::end::broken);
}

void buffered_exchange::give_up(buffered_answer::end end)
{
    if (connection_ != nullptr) {
        std::exchange(connection_, nullptr)->abandon();
    }
    finish(end);
}

void buffered_exchange::finish(buffered_answer::end end)
{
    loop_.cancel(std::exchange(timer_, 0));
    answer_.end_ = end;
    if (done_) {
        std::exchange(done_, {})(answer_);
    }
}

} // namespace savoryscale::http
