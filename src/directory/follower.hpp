#pragma once

// Makes the calls to the store that follow one kind of objects; see follow.hpp.

#include "base/random.hpp"
#include "directory/follow.hpp"
#include "http/timer_queue.hpp"
#include "store/object_api.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::http {
class connection_pool;
class event_loop;
class buffered_exchange;
struct buffered_answer;
} // namespace savoryscale::http

namespace savoryscale::directory {

struct dialect;

struct follower_events {
    std::function<void(follow_update)> on_update_;
    std::function<void(store::operation, store::call_status)> on_call_; // for metrics
    // An answer named this era; `began`: when its call was sent. Returns whether the answer may be
    // used.
    std::function<bool(std::optional<std::uint64_t> era, time_point began)> on_era_;
};

class follower {
public:
    follower(http::event_loop& loop, http::connection_pool& pool, const dialect& store_dialect,
             std::string_view kind, const follow_options& options, random_source& random,
             follower_events events);
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    // Starts making calls. Data up to the known position is not read again. See resume_from.
    void start(const store_position& known, std::optional<time_point> failing_since);

    // The store names another era, as another source has told: the list is read again at once.
    void on_store_restored();

    // Stops making calls. Data that was received is kept.
    void stop();

    // Sets the pause after an update and the longest wait of a watch, from the next call on.
    void set_pace(duration pause, duration wait);

    // The maximum backoff between failed calls.
    void set_backoff(duration later_min, duration longest)
    {
        state_.options_.later_backoff_min_ = later_min;
        state_.options_.backoff_max_ = longest;
    }

    [[nodiscard]] bool is_running() const { return running_; }

    // Whether the complete list has been read and is kept up to date.
    [[nodiscard]] bool is_listed() const { return state_.listed_; }

    // The store revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const { return state_.revision_; }

    // The revision, and when the call began whose answer named it; of a list, its first call.
    [[nodiscard]] known_revision answered() const { return {state_.revision_, answer_began_}; }

    // When the data was last up to date with the store; none before the first time.
    [[nodiscard]] std::optional<time_point> last_confirmed_at() const { return last_confirmed_at_; }

    // Since when calls have been failing; none if the last one succeeded.
    [[nodiscard]] std::optional<time_point> failing_since() const { return state_.failing_since_; }

private:
    void call();
    void schedule();
    void on_answer(const http::buffered_answer& answer, const follow_call& call);
    std::string read(const http::buffered_answer& answer, const follow_call& call,
                     std::uint64_t era);
    void fail(std::string reason);
    void report_update(follow_update update);

    http::event_loop& loop_;
    http::connection_pool& pool_;
    const dialect& dialect_;
    std::string kind_;
    follow_state state_;
    random_source& random_;
    follower_events events_;
    std::optional<time_point> last_confirmed_at_;
    time_point call_began_{};
    time_point answer_began_{}; // the call, or of the pages of a list the first call
    bool running_ = false;
    std::unique_ptr<http::buffered_exchange> exchange_;
    http::timer_id timer_ = 0;
};

} // namespace savoryscale::directory
