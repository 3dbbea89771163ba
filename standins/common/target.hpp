#pragma once

// A stand-in target: a listener, its slots with a request queue, and its open connections.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "common/behaviour.hpp"
#include "common/counters.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savoryscale::standins {

class session;

// A request that waits for a slot or runs in one.
struct job {
    std::string commit_id_;             // empty: not a commit
    std::optional<time_point> expires_; // not started after this
    std::function<void(bool ran)> finished_;
};

// The load that a target reports.
struct load_snapshot {
    std::size_t in_flight_ = 0;
    double utilization_ = 0;
    time_point taken_{};
};

class target {
public:
    target(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const behaviour& traits, shared_counters& shared, std::uint64_t seed);

    // Opens the listener, with a cold start. Throws boost::system::system_error if the port is
    // taken.
    void start();

    // Queues a job, or starts it if a slot is free; returns its number, for cancel().
    std::uint64_t submit(job work);

    // Cancels a waiting or running job. Its finished_ is not called.
    void cancel(std::uint64_t number);

    // Starts a drain: answers carry X-Draining, and idle connections are closed later.
    void drain();

    // Ends a drain with a cold start, as a replacement at the same address would.
    void restore();

    // Drops all requests and connections and refuses new connections for down_ms_.
    void crash();

    // All established connections stop answering permanently.
    void silence();

    void count_request();
    void count_probe();

    void add(const std::shared_ptr<session>& connection);
    void remove(const std::shared_ptr<session>& connection);

    // The load as reported, delayed by load_lag_ms_ and multiplied by load_factor_.
    load_snapshot reported_load();

    bool draining() const { return drained_at_.has_value(); }
    bool reports_healthy() const;
    bool queue_full() const { return waiting_.size() >= behaviour_.queue_limit_; }
    const boost::asio::ip::tcp::endpoint& address() const { return address_; }
    boost::asio::io_context& io() { return io_; }
    random_source& random() { return random_; }
    shared_counters& shared() { return shared_; }

    behaviour behaviour_;
    target_counters counters_;

private:
    struct queued_job {
        std::uint64_t number_ = 0;
        job work_;
    };
    struct running_job {
        job work_;
        std::unique_ptr<boost::asio::steady_timer> timer_;
    };

    void listen();
    void accept();
    void close_idle_later();
    void start_next();
    void run(std::uint64_t number, job work);
    void finish(std::uint64_t number);
    duration draw_service_time();
    double current_noise_factor(time_point now);
    double cold_start_factor(time_point now) const;

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint address_;
    shared_counters& shared_;
    random_source random_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer restart_;
    boost::asio::steady_timer idle_close_;
    std::set<std::shared_ptr<session>> sessions_;
    std::deque<queued_job> waiting_;
    std::map<std::uint64_t, running_job> running_;
    std::uint64_t next_number_ = 1;
    time_point process_start_;
    time_point started_at_;
    std::optional<time_point> drained_at_;
    bool noisy_ = false;
    time_point noise_until_{};
    load_snapshot snapshot_;
};

} // namespace savoryscale::standins
