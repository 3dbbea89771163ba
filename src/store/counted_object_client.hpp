#pragma once

// Passes calls on to another client and reports how each ended.

#include "store/object_client.hpp"

#include <functional>
#include <utility>

namespace savoryscale::store {

class counted_object_client final : public object_client {
public:
    using count_function = std::function<void(operation made, call_status seen)>;

    // `counted` must outlive this client and all its calls. `count` is run on its threads.
    counted_object_client(object_client& counted, count_function count)
        : counted_{counted}, count_{std::move(count)}
    {
    }

    void submit(object_call call) override
    {
        call.done_ = [this, made = call.operation_,
                      done = std::move(call.done_)](object_reply reply) {
            count_(made, reply.status_);
            done(std::move(reply));
        };
        counted_.submit(std::move(call));
    }

private:
    object_client& counted_;
    count_function count_;
};

} // namespace savoryscale::store
