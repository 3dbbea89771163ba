#pragma once

// The interface to the platform's object API. Each platform has an adapter that implements it.

#include "store/object_api.hpp"

namespace savoryscale::store {

class object_client {
public:
    object_client() = default;
    object_client(const object_client&) = delete;
    object_client& operator=(const object_client&) = delete;
    object_client(object_client&&) = delete;
    object_client& operator=(object_client&&) = delete;
    virtual ~object_client() = default;

    // Starts the call and returns. `call.done_` is run exactly once, on the client's thread or
    // inside submit; it must not block.
    virtual void submit(object_call call) = 0;
};

} // namespace savoryscale::store
