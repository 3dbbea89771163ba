#pragma once

// One probe of a target: requests its load over a connection of the pool.

#include "http/event_loop.hpp"
#include "http/upstream_exchange.hpp"
#include "routing/target.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace savoryscale::http {

class connection_pool;

// Maximum size of a probe, request and answer together; a probe with a longer answer is abandoned.
inline constexpr std::size_t probe_bytes_max = 1024;

class probe_exchange final : public upstream_exchange {
public:
    // Receives the load, none when the probe failed, and the bytes used. Called once, never from
    // within start().
    using done_function =
        std::function<void(std::optional<routing::load_report> load, std::size_t bytes)>;

    probe_exchange(event_loop& loop, std::string path);
    ~probe_exchange();
    probe_exchange(const probe_exchange&) = delete;
    probe_exchange& operator=(const probe_exchange&) = delete;
    probe_exchange(probe_exchange&&) = delete;
    probe_exchange& operator=(probe_exchange&&) = delete;

    // Sets the callback for the end of the probe. Call before start().
    void set_done_callback(done_function done) { done_ = std::move(done); }

    // Sends the probe. False when the pool has no connection available.
    bool start(connection_pool& pool);

    void on_ready(upstream_connection& connection) override;
    bool on_answer_head(const answer_head& head) override;
    void on_answer_body(std::string_view bytes) override;
    void on_answer_complete() override;
    void on_failed(exchange_failure failure) override;

private:
    void give_up();
    void finish(std::optional<routing::load_report> load);

    event_loop& loop_;
    std::string path_;
    done_function done_;
    upstream_connection* connection_ = nullptr;
    timer_id timer_ = 0;
    std::optional<routing::load_report> from_fields_;
    std::string body_;
    std::size_t bytes_ = 0;
    int status_ = 0;
};

} // namespace savoryscale::http
