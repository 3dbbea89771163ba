#pragma once

// The connections of this host to one target, limited in number by a cap.

#include "base/clock.hpp"
#include "http/timer_queue.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savoryscale::http {

class event_loop;
class upstream_connection;
class upstream_exchange;

// Counts of connection events of one pool.
struct pool_counters {
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t refused_ = 0;  // connections that could not be opened
    std::uint64_t poisoned_ = 0; // closed because of bytes outside of an answer
    std::uint64_t retired_ = 0;  // idle ones closed as too old or no longer trusted
    std::uint64_t skipped_ = 0;  // late answers to earlier requests, discarded
};

class connection_pool {
public:
    connection_pool(event_loop& loop, settings::endpoint address, bool tls, std::size_t cap);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    // Assigns an idle or new connection to the exchange. With `verified`, an idle one must
    // have been known to work within the last second. Null when the cap is reached and all
    // connections are in use, or when a new one could not be opened.
    upstream_connection* acquire(upstream_exchange* exchange, bool verified);

    // Call when a connection did not answer a request sent at `moment`: closes the idle connections
    // that have not been known to work since.
    void close_idle_unverified_since(time_point moment);

    // Whether an idle connection exists or the cap allows a new one.
    [[nodiscard]] bool has_room() const;

    void set_cap(std::size_t cap);

    // Opens a spare connection if none is idle and the cap allows it, so that the next call need
    // not wait for one to open.
    void ensure_idle_connection();

    // Opens a connection to find out whether the target still accepts any, and reports it to
    // `done`; one that does not open in time counts as refused. When the cap is reached, it reports
    // true without opening one.
    void check(std::function<void(bool accepts)> done);

    // Closes all idle connections; for a target that takes no new requests.
    void close_idle();

    // Closes idle connections that have been unused for longer than idle_lifetime.
    void close_aged(time_point now);

    [[nodiscard]] std::size_t open_count() const { return connections_.size(); }

    // Counts since the last call.
    pool_counters take_counters() { return std::exchange(counters_, {}); }

    [[nodiscard]] event_loop& loop() { return loop_; }

    // Enables TCP keep-alive on new connections, so that broken ones are detected soon.
    void enable_tcp_keepalive() { keep_alive_ = true; }
    [[nodiscard]] bool keeps_alive() const { return keep_alive_; }

    // "ip:port" of the target.
    [[nodiscard]] std::string name() const;

    // Answers carry the id of their request, so a late answer to an earlier request is recognised,
    // and a connection may be reused without delay.
    void trust_answer_ids() { answer_ids_ = true; }

    // Counter of answers to earlier requests that were discarded.
    [[nodiscard]] std::uint64_t& skipped() { return counters_.skipped_; }

    // Events reported by a connection.
    void connection_opened(upstream_connection& connection);
    void connection_released(upstream_connection& connection, bool reusable);
    void connection_closed(upstream_connection& connection);
    void connection_refused() { ++counters_.refused_; }
    void connection_poisoned();

private:
    upstream_connection* open(upstream_exchange* exchange);
    std::deque<upstream_connection*>::iterator find_usable(bool verified, time_point now);
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
    std::deque<upstream_connection*> idle_;         // longest idle first
    std::size_t pending_idle_ = 0;                  // connections being opened without an exchange
    std::vector<std::function<void(bool)>> checks_; // in progress
    timer_id check_timer_ = 0;
    pool_counters counters_;
};

} // namespace savoryscale::http
