#pragma once

// Keeps suspicions of requests that crash targets in the store; see admission/kept_suspicions.hpp.
// They are read once after a start while the store is read anyway, and followed by a lone host.

#include "admission/kept_suspicions.hpp"
#include "directory/follower.hpp"
#include "directory/stored_object.hpp"
#include "http/timer_queue.hpp"
#include "peer/fact.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryscale::directory {

struct suspicion_keeper_events {
    std::function<void(const std::vector<peer::fact>&)> on_read_;
    std::function<void(store::operation, store::call_status)> on_call_; // for metrics
};

class suspicion_keeper {
public:
    suspicion_keeper(http::event_loop& loop, http::connection_pool& pool,
                     const dialect& store_dialect, random_source& random,
                     suspicion_keeper_events events);
    ~suspicion_keeper();
    suspicion_keeper(const suspicion_keeper&) = delete;
    suspicion_keeper& operator=(const suspicion_keeper&) = delete;
    suspicion_keeper(suspicion_keeper&&) = delete;
    suspicion_keeper& operator=(suspicion_keeper&&) = delete;

    // Whether this host reads the store, and whether it does so for others.
    void set_reading(bool reads_store, bool is_feed_host);

    // A suspicion is new or has changed. `raised_here`: neither a host of the feed nor the store
    // told it.
    void on_suspicion(const peer::fact& changed, bool raised_here);

    // The store answers again after an outage.
    void on_store_regained();

    // The store has come back from an older copy.
    void on_store_restored();

private:
    void apply_role();
    void on_update(const follow_update& update);
    void read_all(const std::vector<stored_object>& objects);
    void read(const stored_object& object, std::vector<peer::fact>& facts);
    void send_due();
    void send_write(const admission::kept_suspicion& due);
    void send_removal(const stored_object& outdated);
    void send(const std::string& request, store::operation operation);
    void on_sent(const http::buffered_answer& answer, store::operation operation);
    void on_write_answered(const http::buffered_answer& answer, store::operation operation,
                           store::call_status status);

    http::event_loop& loop_;
    http::connection_pool& pool_;
    const dialect& dialect_;
    random_source& random_;
    suspicion_keeper_events events_;
    admission::kept_suspicions kept_;
    admission::keeper_role role_ = admission::keeper_role::none;
    bool reads_store_ = false;
    bool was_read_ = false;              // since the start
    std::deque<stored_object> outdated_; // to remove
    follower follower_;
    std::unique_ptr<http::buffered_exchange> exchange_;
    http::timer_id lone_timer_ = 0;
    http::timer_id write_timer_ = 0;
};

} // namespace savoryscale::directory
