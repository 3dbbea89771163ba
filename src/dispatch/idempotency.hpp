#pragma once

// Idempotency-Key of a request that may not be repeated: before the request leaves this host, its
// key is claimed by a conditional create in the object API. A resend through any entry host finds
// the claim and is refused. A pure state machine; the task that owns it makes the calls.
//
// A claim is kept unless the request is proved not to have run; then release() takes it back, so
// that a resend may run.

#include "base/clock.hpp"
#include "store/object_api.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::dispatch {

// What is stored for a claimed key.
struct idempotency_record {
    std::string attempt_; // id of the request that claimed it, unique over all hosts
    std::string digest_;  // of that request's method, path and body
    std::string host_;
    std::int64_t started_ms_ = 0; // wall clock since the epoch, for people
};

enum class claim_phase : std::uint8_t {
    creating, // the create is on its way
    reading,  // reads who holds the key
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
    submit,  // make call_ after wait_; its answer goes to on_reply
    proceed, // the key is ours: the request may be sent
    refuse,  // answer the caller with status_
};

struct claim_action {
    claim_action_kind kind_ = claim_action_kind::refuse;
    store::object_call call_;   // submit: done_ is the caller's to fill in
    duration wait_{};           // submit
    int status_ = 0;            // refuse: 409, 422 or 503
    bool may_have_run_ = false; // refuse: the outcome is unknown, rather than not run
};

// The object key of a claim: the key is hashed with its customer, so that customers never meet.
std::string idempotency_object_key(std::string_view service, std::string_view customer,
                                   std::string_view idempotency_key);

// The digest that tells two requests with one key apart.
std::string request_digest(std::string_view method, std::string_view path, std::string_view body);

// The first action of a claim: its create.
claim_action begin_claim(idempotency_claim& claim);

// Takes the answer to the last submitted call.
claim_action on_reply(idempotency_claim& claim, const store::object_reply& reply, time_point now);

// The call that gives a claim back after its request is proved not to have run; nothing when the
// claim is not held. Whatever becomes of the call, no request runs twice; if it is lost, the key
// stays claimed and a resend is told 409.
std::optional<store::object_call> release(idempotency_claim& claim);

} // namespace savoryscale::dispatch
