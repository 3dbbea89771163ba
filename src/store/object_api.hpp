#pragma once

// Calls on the platform's object API as messages. An adapter turns them into the platform's own
// protocol; platform/object_client.hpp is the one for plain HTTP and JSON.

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryscale::store {

// One stored value. `version_` grows with each write of any object; it starts at 1.
struct object {
    std::string key_;
    std::string value_;
    std::uint64_t version_ = 0;
};

enum class operation : std::uint8_t {
    get,    // reads one key
    list,   // reads all keys with a prefix, page by page inside the adapter
    create, // writes the key if it does not exist
    update, // writes the key if it is still at expected_version_
    remove, // deletes the key if it is still at expected_version_
    watch,  // waits until the key is at a version above expected_version_, or the timeout
};

enum class call_status : std::uint8_t {
    ok,
    not_found,
    conflict, // create: it exists; update and remove: it is at another version
    not_sent, // proof that the call had no effect: over the cap, or no connection could be opened
    unknown,  // sent, but no answer: a write may or may not have taken effect
    rejected, // the API refused the call as malformed or too large
    unavailable, // the API answered that it cannot serve now; the call had no effect
};

// The answer to one call. get, create, update, watch: at most one object; list: all of them.
struct object_reply {
    call_status status_ = call_status::unknown;
    std::vector<object> objects_;
};

// One call. `done_` is run once, on the platform task's thread; it posts to the asker's mailbox.
struct object_call {
    operation operation_ = operation::get;
    std::string key_;
    std::string value_;
    std::uint64_t expected_version_ = 0;
    duration timeout_ = std::chrono::seconds{1};
    std::function<void(object_reply)> done_;
};

} // namespace savoryscale::store
