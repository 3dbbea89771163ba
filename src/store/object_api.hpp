#pragma once

// Calls to the platform's object API and their replies, independent of a protocol. An adapter
// translates them to the platform's protocol; http_object_client is the adapter for plain HTTP and
// JSON.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryscale::store {

// One stored object. Versions start at 1 and increase with every write to any object.
struct object {
    std::string key_;
    std::string value_;
    std::uint64_t version_ = 0;
};

enum class operation : std::uint8_t {
    get,    // reads one key
    list,   // reads all keys with a prefix; the adapter handles paging
    create, // creates the key if it does not exist
    update, // writes the key if its version is expected_version_
    remove, // deletes the key if its version is expected_version_
    watch,  // waits until the key's version exceeds expected_version_, or until the timeout
};

enum class call_status : std::uint8_t {
    ok,
    not_found,
    conflict,    // create: the key exists; update, remove: it has another version
    not_sent,    // the call certainly had no effect: rate limit, backoff, or no connection
    unknown,     // sent but not answered: a write may or may not have taken effect
    rejected,    // the API rejected the call as malformed or too large
    unavailable, // the API answered that it cannot serve the call now; the call had no effect
};

// The reply to one call. get, create, update and watch return at most one object, list all matches.
struct object_reply {
    call_status status_ = call_status::unknown;
    std::vector<object> objects_;
    std::size_t unreadable_ = 0; // objects of a list that are malformed and not in objects_
};

// One call. `done_` is run once, on the client's thread or inside submit, and must not block.
struct object_call {
    operation operation_ = operation::get;
    std::string key_;
    std::string value_;
    std::uint64_t expected_version_ = 0;
    duration timeout_ = std::chrono::seconds{1};
    std::function<void(object_reply)> done_;
};

} // namespace savoryscale::store
