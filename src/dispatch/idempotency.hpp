#pragma once

// Idempotency-Key of a request that may not be repeated: before the request leaves this host, its
// key is claimed by a conditional create in the object API. A resend through any entry host finds
// the claim and is refused. A state machine without I/O; the task that owns it makes the calls.
//
// A claim remains unless the request is proved not to have run; then release() removes it, so that
// a resend may run.

#include "base/clock.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::dispatch {

// What is stored for a claimed key.
struct idempotency_record {
    std::string attempt_; // id of the request that claimed the key, unique over all hosts
    std::string digest_;  // of the request's method, path and body
    std::string host_;
    std::int64_t started_ms_ = 0; // wall clock since the epoch, for diagnosis only
};

enum class claim_phase : std::uint8_t {
    creating, // the create is in progress
    reading,  // reading which request holds the key
    finished,
};

// One request's claim on its key.
struct idempotency_claim {
    std::string object_key_;
    idempotency_record record_;
    duration call_timeout_{};
    time_point deadline_{}; // of the request
    claim_phase phase_ = claim_phase::creating;
    std::uint8_t failed_calls_ = 0;
    std::uint64_t held_version_ = 0; // of our object; 0: not held
};

enum class claim_action_kind : std::uint8_t {
    submit,  // make call_ after wait_; pass its answer to on_reply
    proceed, // the key is claimed: the request may be sent
    refuse,  // answer the caller with status_
};

struct claim_action {
    claim_action_kind kind_ = claim_action_kind::refuse;
    store::object_call call_;   // for submit: the caller sets done_
    duration wait_{};           // for submit
    int status_ = 0;            // for refuse: 409, 422 or 503
    bool may_have_run_ = false; // for refuse: the outcome is unknown instead of not-run
};

// The object key of a claim. The key is hashed with its customer, so that keys of different
// customers do not collide.
std::string idempotency_object_key(std::string_view service, std::string_view customer,
                                   std::string_view idempotency_key);

// The digest that distinguishes two requests with the same key.
std::string request_digest(std::string_view method, std::string_view path, std::string_view body);

// The first action of a claim: the create.
claim_action begin_claim(idempotency_claim& claim);

// Handles the answer to the last submitted call.
claim_action on_reply(idempotency_claim& claim, const store::object_reply& reply, time_point now);

// The call that removes a claim after its request is proved not to have run; none when the claim is
// not held. Whatever the result of this call, no request runs twice; if the call is lost, the key
// stays claimed and a resend is refused with 409.
std::optional<store::object_call> release(idempotency_claim& claim);

} // namespace savoryscale::dispatch
