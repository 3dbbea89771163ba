#pragma once

// One stand-in target: a listener, its slots with a queue in front, and its open connections.

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

// One request waiting for a slot or running in one.
struct job {
    std::string commit_id_;             // empty: nothing to count
    std::optional<time_point> expires_; // not started after this
    std::function<void(bool ran)> finished_;
};

// What a target says about its load.
struct load_snapshot {
    std::size_t in_flight_ = 0;
    double utilization_ = 0;
    time_point taken_{};
};

class target {
public:
    target(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
           const behaviour& traits, shared_counters& shared, std::uint64_t seed);

    // Opens the listener and starts cold. Throws boost::system::system_error if the port is taken.
    void start();

    // Queues a job, or starts it if a slot is free; returns its number, for cancel().
    std::uint64_t submit(job work);

    // Drops a job that waits or runs. Its finished_ is not called.
    void cancel(std::uint64_t number);

    // Answers carry the drain signal from now on; idle connections are closed later.
    void drain();

    // Ends a drain and starts cold, as a replacement at the same address would.
    void restore();

    // Drops all work and connections and refuses new ones for down_ms_.
    void crash();

    // Every established connection stops answering, for good.
    void silence();

    // Counts a request, or a probe of `bytes`.
    void count_request();
    void count_probe();

    void add(const std::shared_ptr<session>& connection);
    void remove(const std::shared_ptr<session>& connection);

    // The load as reported, which lags and misleads if the behaviour says so.
    load_snapshot reported_load();

    bool draining() const { return drained_at_.has_value(); }
    bool reports_healthy() const;
    bool queue_full() const { return waiting_.size() >= traits_.queue_limit_; }
    const boost::asio::ip::tcp::endpoint& address() const { return address_; }
    boost::asio::io_context& io() { return io_; }
    random_source& random() { return random_; }
    shared_counters& shared() { return shared_; }

    behaviour traits_;
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
    double noise_now(time_point now);
    double coldness(time_point now) const;

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
