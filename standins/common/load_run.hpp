#pragma once

// A load run: sends calls at a given rate, whatever the answers, and counts how they ended.

#include "base/random.hpp"
#include "common/call.hpp"
#include "common/caller.hpp"
#include "common/histogram.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace savoryscale::standins {

struct load_settings {
    std::vector<boost::asio::ip::tcp::endpoint> hosts_;
    double rate_ = 1000;             // calls per second; 0: each answer starts the next call
    std::uint32_t concurrency_ = 64; // maximum number of calls in progress
    std::uint64_t calls_ = 10000;
    std::array<double, call_kind_count> weights_{0.8, 0.2, 0, 0}; // by call_kind
    std::uint64_t lookup_bytes_ = 256;
    std::uint64_t commit_bytes_ = 128;
    std::uint64_t download_bytes_ = 1 << 20;
    std::string lookup_path_ = "/ledger/lots";
    std::string commit_path_ = "/ledger/commits";
    std::string download_path_ = "/photos";
    double keyed_ratio_ = 0.5;   // ratio of commits that carry Idempotency-Key
    std::uint32_t attempts_ = 1; // attempts per call, each through another host
    std::uint64_t customers_ = 16;
    std::uint64_t seed_ = 1;
    caller_settings caller_;
};

// The answers that a caller received for one commit over all its attempts.
struct commit_record {
    std::uint32_t attempts_ = 0;
    std::uint32_t not_run_answers_ = 0;
    bool acknowledged_ = false;
};

struct load_totals {
    std::array<histogram, call_kind_count> latency_; // good calls only
    std::array<std::array<std::uint64_t, call_end_count>, call_kind_count> ends_{}; // of calls
    std::array<std::uint64_t, call_end_count> attempt_ends_{}; // of every attempt
    std::uint64_t surplus_ = 0; // connections with unrequested bytes between two calls
    std::unordered_map<std::string, commit_record> commits_;
    duration elapsed_{};
};

class load_run {
public:
    load_run(boost::asio::io_context& io, const load_settings& settings);

    // Runs the io_context until every call has ended.
    const load_totals& run();

private:
    void schedule_arrival();
    void on_arrival();
    void start_calls();
    void enqueue_call(time_point intended);
    void start(call next);
    void on_attempt_ended(call attempted, call_end end, const std::shared_ptr<caller>& used);
    bool can_retry(const call& attempted, call_end end) const;
    void schedule_retry(call attempted);
    std::shared_ptr<caller> take_caller(std::size_t host);
    call make_call(time_point intended);

    boost::asio::io_context& io_;
    const load_settings& settings_;
    random_source random_;
    boost::asio::steady_timer arrival_;
    time_point next_arrival_{};
    std::vector<std::vector<std::shared_ptr<caller>>> idle_; // by host
    std::deque<call> backlog_;
    std::uint64_t issued_ = 0;
    std::uint32_t in_progress_ = 0;
    load_totals totals_;
};

} // namespace savoryscale::standins
