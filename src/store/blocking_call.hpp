#pragma once

// Blocking calls to the object API and the host list, for programs that have no event loop, such as
// the operators' commands.

#include "store/host_list.hpp"
#include "store/object_client.hpp"

namespace savoryscale::store {

// Submits the call and blocks until it is answered. Replaces the call's done_.
object_reply call_and_wait(object_client& client, object_call call);

// Fetches the host list and blocks until it arrives or the timeout passes.
host_list_reply fetch_and_wait(host_list_client& client, duration timeout);

} // namespace savoryscale::store
