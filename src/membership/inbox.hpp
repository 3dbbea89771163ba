#pragma once

// The input queue of the control task, which blocks until input arrives or a timeout passes.

#include "base/mailbox.hpp"
#include "membership/control_task.hpp"
#include "peer/peer_task.hpp"
#include "store/host_list.hpp"
#include "store/object_api.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <variant>

namespace savoryscale::membership {

// The purpose of a call to the object API.
enum class store_purpose : std::uint8_t { configuration, lease, status };

// The answer to one call. `slot_` is the index of the lease for calls with purpose `lease`.
struct store_answer {
    store_purpose purpose_ = store_purpose::configuration;
    std::size_t slot_ = 0;
    store::operation operation_ = store::operation::get;
    store::object_reply reply_;
};

using control_input =
    std::variant<control_event, peer::peer_event, store_answer, store::host_list_reply>;

class inbox {
public:
    inbox()
    {
        messages_.set_wake([this] {
            const std::lock_guard lock{mutex_};
            posted_ = true;
            changed_.notify_one();
        });
    }

    // Any thread may post.
    void post(control_input input) { messages_.post(std::move(input)); }

    // Waits for a message or the timeout; returns all queued messages.
    std::deque<control_input> wait(std::chrono::milliseconds timeout)
    {
        {
            std::unique_lock lock{mutex_};
            changed_.wait_for(lock, timeout, [this] { return posted_; });
            posted_ = false;
        }
        return messages_.take();
    }

private:
    mailbox<control_input> messages_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool posted_ = false;
};

} // namespace savoryscale::membership
