#pragma once

// Calls on the object API for programs without an event loop of their own, such as the operators'
// commands.

#include "store/host_list.hpp"
#include "store/object_client.hpp"

namespace savoryscale::store {

// Submits the call and waits for its answer; the call's done_ is replaced.
object_reply call_and_wait(object_client& client, object_call call);

// Reads the host list and waits for it.
host_list_reply fetch_and_wait(host_list_client& client, duration timeout);

} // namespace savoryscale::store
