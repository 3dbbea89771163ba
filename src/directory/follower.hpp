#pragma once

// Makes the calls by which one kind of the store's objects is followed; see follow.hpp.

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
class whole_exchange;
struct whole_answer;
} // namespace savoryscale::http

namespace savoryscale::directory {

struct dialect;

struct follower_events {
    std::function<void(follow_news)> on_news_;
    std::function<void(store::operation, store::call_status)> on_call_; // for counting
};

class follower {
public:
    follower(http::event_loop& loop, http::connection_pool& pool, const dialect& spoken,
             std::string_view kind, const follow_options& options, random_source& random,
             follower_events events);
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    void start();

    // When an answer last told what there is; none before the first.
    [[nodiscard]] std::optional<time_point> heard_at() const { return heard_at_; }

private:
    void call();
    void schedule();
    void on_answer(const http::whole_answer& answer, bool watch);
    bool read(const http::whole_answer& answer, bool watch);
    void fail(std::string why);
    void tell(follow_news news);

    http::event_loop& loop_;
    http::connection_pool& pool_;
    const dialect& dialect_;
    std::string kind_;
    follow_state state_;
    random_source& random_;
    follower_events events_;
    std::optional<time_point> heard_at_;
    std::unique_ptr<http::whole_exchange> exchange_;
    http::timer_id timer_ = 0;
};

} // namespace savoryscale::directory
