#pragma once

// The plain HTTP and JSON protocol of the object API.
//
//   GET    /v1/objects/KEY                          reads; 404 when there is none
//   GET    /v1/objects/KEY?above=VERSION&wait_ms=T  watches; no object when T passed without news
//   GET    /v1/objects?prefix=P&after=KEY           lists one page in order of keys
//   PUT    /v1/objects/KEY?version=VERSION          updates, body {"value": TEXT}; 409 on conflict
//   PUT    /v1/objects/KEY?absent=true              creates, body {"value": TEXT}; 409 on conflict
//   DELETE /v1/objects/KEY?version=VERSION          removes; 409 on conflict
//
// Success is 200 with {"objects": [{"key", "value", "version"}...], "next": KEY}; a write's answer
// leaves out the value, and "next" stands only on a page that others follow. 400 and 413 are
// refusals; 429 and 503 say that the call had no effect.

#include "store/http_caller.hpp"
#include "store/object_api.hpp"

#include <string>
#include <string_view>

namespace savoryscale::store {

// The request for a call, but for its address and done_. `after` is the last key of the page
// before; lists only.
http_request to_request(const object_call& call, std::string_view after = {});

// One page of an answer.
struct object_page {
    object_reply reply_;
    std::string next_; // empty: no further page
};

// Reads the answer. Anything but an answer of the protocol is unknown.
object_page parse_answer(const http_answer& answer);

// Escapes all bytes but letters, digits and "-._~/" for a path or a query.
std::string escape_url(std::string_view text);

} // namespace savoryscale::store
