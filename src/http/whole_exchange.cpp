#include "http/whole_exchange.hpp"

#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "http/upstream_connection.hpp"

#include <utility>

namespace savoryscale::http {

whole_exchange::whole_exchange(event_loop& loop, std::string request, std::size_t body_max)
    : loop_{loop}, request_{std::move(request)}, body_max_{body_max}
{
}

whole_exchange::~whole_exchange()
{
    loop_.cancel(timer_);
    if (connection_ != nullptr) {
        connection_->abandon();
    }
}

bool whole_exchange::start(connection_pool& pool, duration timeout, done_function done)
{
    done_ = std::move(done);
    pool_ = &pool;
    started_ = loop_.now();
    timer_ = loop_.after(timeout, [this] {
        timer_ = 0;
        pool_->close_idle_unverified_since(started_);
        give_up(whole_answer::end::timeout);
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

void whole_exchange::on_ready(upstream_connection& connection)
{
    connection_ = &connection;
    connection.send_head(request_, false);
    connection.end_request();
}

bool whole_exchange::on_answer_head(const answer_head& head)
{
    answer_.head_ = head;
    return true;
}

void whole_exchange::on_answer_body(std::string_view bytes)
{
    if (answer_.body_.size() + bytes.size() > body_max_) {
        give_up(whole_answer::end::broken);
        return;
    }
    answer_.body_.append(bytes);
}

void whole_exchange::on_answer_complete()
{
    connection_ = nullptr;
    finish(whole_answer::end::answered);
}

void whole_exchange::on_failed(exchange_failure failure)
{
    connection_ = nullptr;
    finish(failure == exchange_failure::refused  ? whole_answer::end::refused
           : failure == exchange_failure::unsent ? whole_answer::end::not_sent
                                                 : whole_answer::end::broken);
}

void whole_exchange::give_up(whole_answer::end end)
{
    if (connection_ != nullptr) {
        std::exchange(connection_, nullptr)->abandon();
    }
    finish(end);
}

void whole_exchange::finish(whole_answer::end end)
{
    loop_.cancel(std::exchange(timer_, 0));
    answer_.end_ = end;
    if (done_) {
        std::exchange(done_, {})(answer_);
    }
}

} // namespace savoryscale::http
