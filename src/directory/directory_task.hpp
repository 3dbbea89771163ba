#pragma once

// Keeps an entry host's routes, services and targets as the store has them, and tells the HTTP
// task. Runs on the HTTP task's loop.

#include "base/random.hpp"
#include "directory/follower.hpp"
#include "directory/registry.hpp"
#include "http/connection_pool.hpp"
#include "routes/route.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace savoryscale::http {
class event_loop;
} // namespace savoryscale::http

namespace savoryscale::directory {

struct dialect;

struct directory_events {
    std::function<void(routes::desired_state)> on_desired_state_;
    std::function<void(const std::string& service, std::vector<routing::target_info>)> on_targets_;
    std::function<void(store::operation, store::call_status)> on_store_call_;
};

class directory_task {
public:
    directory_task(http::event_loop& loop, const settings::directory& config, const dialect& spoken,
                   std::uint64_t seed, directory_events events);
    ~directory_task();
    directory_task(const directory_task&) = delete;
    directory_task& operator=(const directory_task&) = delete;
    directory_task(directory_task&&) = delete;
    directory_task& operator=(directory_task&&) = delete;

    void start();

    // A desired state and the list of targets are known.
    [[nodiscard]] bool is_complete() const { return version_ > 0 && targets_listed_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }

private:
    void on_configuration(const follow_news& news);
    void on_targets(const follow_news& news);
    void take_entry(const stored_object& changed, time_point now);
    void tell_changed();
    void tell_all();
    void watch_missing();

    http::event_loop& loop_;
    const dialect& dialect_;
    random_source random_;
    directory_events events_;
    http::connection_pool pool_;
    registry registry_;
    std::set<std::string> unreadable_; // entries that were logged as such
    std::uint64_t version_ = 0;
    bool targets_listed_ = false;
    http::timer_id missing_timer_ = 0;
    follower configuration_;
    follower targets_;
};

} // namespace savoryscale::directory
