#pragma once

// Forwards calls to another client and reports the operation and the status of each one.

#include "store/object_client.hpp"

#include <functional>
#include <utility>

namespace savoryscale::store {

class counting_object_client final : public object_client {
public:
    using count_function = std::function<void(operation type, call_status status)>;

    // `client` must outlive this client and all its calls. `count` is run on the threads of
    // `client`, or inside submit.
    counting_object_client(object_client& client, count_function count)
        : client_{client}, count_{std::move(count)}
    {
    }

    void submit(object_call call) override
    {
        call.done_ = [this, type = call.operation_,
                      done = std::move(call.done_)](object_reply reply) {
            count_(type, reply.status_);
            done(std::move(reply));
        };
        client_.submit(std::move(call));
    }

private:
    object_client& client_;
    count_function count_;
};

} // namespace savoryscale::store
