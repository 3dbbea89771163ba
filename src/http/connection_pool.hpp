#pragma once

// The connections of this host to one target, never more than its cap.

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace savoryscale::http {

class event_loop;
class upstream_connection;
class upstream_exchange;

// What happened to one pool's connections.
struct pool_counters {
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t refused_ = 0;  // connections that could not be opened
    std::uint64_t poisoned_ = 0; // closed for bytes outside of an answer
    std::uint64_t retired_ = 0;  // idle ones closed for age
    std::uint64_t skipped_ = 0;  // late answers to earlier requests
};

class connection_pool {
public:
    connection_pool(event_loop& loop, settings::endpoint address, bool tls, std::size_t cap);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    // Gives the exchange a connection, idle or new. With `proven`, an idle one must have proved
    // itself lately. None when every connection is in use and the cap is reached.
    upstream_connection* acquire(upstream_exchange* exchange, bool proven);

    // A connection went silent: closes the idle ones that have not proved themselves since.
    void distrust_before(time_point moment);

    // Whether acquire would succeed now.
    [[nodiscard]] bool has_room() const;

    void set_cap(std::size_t cap);

    // Opens one idle connection when there is none and the cap allows it, so that the next call
    // need not wait for one.
    void keep_one_warm();

    // Opens one connection to learn whether the target still accepts any, and tells `done`. With no
    // room for one it is taken to accept.
    void check(std::function<void(bool accepts)> done);

    // Closes idle connections: the target takes no new work.
    void close_idle();

    // Closes idle connections that have been unused for long.
    void close_aged(time_point now);

    [[nodiscard]] std::size_t open_count() const { return connections_.size(); }

    // Counts since the last call.
    pool_counters take_counters() { return std::exchange(counters_, {}); }

    [[nodiscard]] event_loop& loop() { return loop_; }

    // Has the kernel ask after the other side, so that a connection gone silent ends soon.
    void keep_alive() { keep_alive_ = true; }
    [[nodiscard]] bool keeps_alive() const { return keep_alive_; }

    // "ip:port" of the target.
    [[nodiscard]] std::string name() const;

    // Answers carry the id of their request, so that one to an earlier request does no harm and a
    // connection need not rest before it is reused.
    void trust_answer_ids() { answer_ids_ = true; }

    // Answers to earlier requests that were read past.
    [[nodiscard]] std::uint64_t& skipped() { return counters_.skipped_; }

    // Told by a connection.
    void connection_opened(upstream_connection& connection);
    void connection_released(upstream_connection& connection, bool reusable);
    void connection_closed(upstream_connection& connection);
    void connection_refused() { ++counters_.refused_; }
    void connection_poisoned();

private:
    upstream_connection* open(upstream_exchange* exchange);
    std::deque<upstream_connection*>::iterator find_usable(bool proven, time_point now);
    void drop(upstream_connection& connection);
    void report_check(bool accepts);

    event_loop& loop_;
    settings::endpoint address_;
    bool tls_;
    std::size_t cap_;
    bool answer_ids_ = false;
    bool keep_alive_ = false;
    time_point no_reuse_until_{};
    std::unordered_map<upstream_connection*, std::unique_ptr<upstream_connection>> connections_;
    std::deque<upstream_connection*> idle_; // longest idle first
    std::size_t opening_spares_ = 0;
    std::function<void(bool)> on_checked_; // set while a check is under way
    pool_counters counters_;
};

} // namespace savoryscale::http
