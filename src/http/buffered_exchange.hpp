#pragma once

// One small request whose answer is buffered in full, with a timeout: a probe, or a call to the
// store.

#include "base/clock.hpp"
#include "http/head.hpp"
#include "http/timer_queue.hpp"
#include "http/upstream_exchange.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace savoryscale::http {

class connection_pool;
class event_loop;
class upstream_connection;

// The answer, or why there is none.
struct buffered_answer {
    enum class end : std::uint8_t {
        answered,
        not_sent, // no connection, or it closed before the request was sent
        refused,  // the connection could not be opened
        broken,   // the connection closed, or the answer was malformed or too long
        timeout,
    };
    end end_ = end::not_sent;
    answer_head head_;
    std::string body_;
};

class buffered_exchange final : public upstream_exchange {
public:
    using done_function = std::function<void(const buffered_answer&)>;

    buffered_exchange(event_loop& loop, std::string request, std::size_t body_max);
    ~buffered_exchange();
    buffered_exchange(const buffered_exchange&) = delete;
    buffered_exchange& operator=(const buffered_exchange&) = delete;
    buffered_exchange(buffered_exchange&&) = delete;
    buffered_exchange& operator=(buffered_exchange&&) = delete;

    // Starts the exchange; `done` is called once, possibly before this returns. False when the pool
    // has no connection available; `done` is then not called.
    bool start(connection_pool& pool, duration timeout, done_function done);

    void on_ready(upstream_connection& connection) override;
    bool on_answer_head(const answer_head& head) override;
    void on_answer_body(std::string_view bytes) override;
    void on_answer_complete() override;
    void on_failed(exchange_failure failure) override;

private:
    void give_up(buffered_answer::end end);
    void finish(buffered_answer::end end);

    event_loop& loop_;
    std::string request_;
    std::size_t body_max_;
    upstream_connection* connection_ = nullptr;
    connection_pool* pool_ = nullptr;
    time_point started_{};
    timer_id timer_ = 0;
    buffered_answer answer_;
    done_function done_;
};

} // namespace savoryscale::http
