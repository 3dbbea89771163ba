#pragma once

// The plain HTTP and JSON protocol of the object API.
//
//   GET    /v1/objects/KEY                          reads; 404 if the key does not exist
//   GET    /v1/objects/KEY?above=VERSION&wait_ms=T  watches; no object if nothing changes within T
//   GET    /v1/objects?prefix=P&after=KEY           lists one page, sorted by key
//   PUT    /v1/objects/KEY?version=VERSION          updates, body {"value": TEXT}; 409 on conflict
//   PUT    /v1/objects/KEY?absent=true              creates, body {"value": TEXT}; 409 on conflict
//   DELETE /v1/objects/KEY?version=VERSION          removes; 409 on conflict
//
// Success is 200 with {"objects": [{"key", "value", "version"}...], "next": KEY}. The answer to a
// write omits "value", and the last page omits "next". 400 and 413 reject the call; 429 and 503
// mean that the call had no effect.

#include "store/http_client.hpp"
#include "store/object_api.hpp"

#include <string>
#include <string_view>

namespace savoryscale::store {

// Returns the request for a call, without its destination and done_. `after` is used for lists
// only: the last key of the previous page.
http_request to_request(const object_call& call, std::string_view after = {});

// One page of a reply.
struct object_page {
    object_reply reply_;
    std::string next_; // key for the next request's `after`; empty on the last page
};

// Parses the answer to a call. The status is unknown if the answer does not follow the protocol. An
// object of a list that does not is counted and left out, since other programs write as well.
object_page parse_answer(const http_answer& answer, operation answered);

} // namespace savoryscale::store
