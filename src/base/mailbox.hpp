#pragma once

// A queue of messages to one task. Any thread may post; only the task that owns the mailbox takes.

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace savoryscale {

template<class Message>
class mailbox {
public:
    // `wake` wakes the owner's event loop. It is called after each post on the posting thread, so
    // it must be thread-safe.
    explicit mailbox(std::function<void()> wake = {}) : wake_{std::move(wake)} {}

    // Replaces the wake function. Call before the first post.
    void set_wake(std::function<void()> wake) { wake_ = std::move(wake); }

    void post(Message message)
    {
        {
            const std::lock_guard lock{mutex_};
            queue_.push_back(std::move(message));
        }
        if (wake_) {
            wake_();
        }
    }

    // Removes and returns all queued messages in the order of posting.
    std::deque<Message> take()
    {
        const std::lock_guard lock{mutex_};
        return std::exchange(queue_, {});
    }

private:
    std::mutex mutex_;
    std::deque<Message> queue_;
    std::function<void()> wake_;
};

} // namespace savoryscale
