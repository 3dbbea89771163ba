#pragma once

// Texts of the heads that the product sends: requests passed on to upstreams, answers passed back,
// and answers of its own.

#include "base/clock.hpp"
#include "http/head.hpp"
#include "settings/settings.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::http {

// Fields that concern one connection alone, or that the product sets itself, are not passed on.
bool is_hop_by_hop(const message_head& head, std::string_view name,
                   const settings::header_names& names);

// What the product adds to a request towards an upstream.
struct forwarded_fields {
    std::string traceparent_;     // empty: none
    std::string request_id_;      // the upstream may echo it; see answers_request
    std::string expect_instance_; // the only one that may run it; empty: any
    duration remaining_{};        // of the deadline
    bool inner_retries_ = true;   // false: later hops are told not to retry
};

// The head of a request to an upstream. The body follows with the framing of `head`.
std::string upstream_request_text(const request_head& head, const forwarded_fields& added,
                                  const settings::header_names& names);

// The head of an upstream's answer for the caller; `close` ends the caller's connection after it.
std::string caller_answer_text(const answer_head& head, bool close,
                               const settings::header_names& names);

// Whether the answer belongs to the request: an echoed request id must be ours; none is accepted.
bool answers_request(const answer_head& head, std::string_view request_id,
                     const settings::header_names& names);

// An answer made here: status, outcome ("not-run" or "unknown"), a short text for people.
struct local_answer {
    int status_ = 503;
    std::string_view outcome_ = "not-run";
    std::string text_;
    std::optional<duration> retry_after_;
    bool close_ = false;
    bool fractional_ = false; // Retry-After with fractions of a second
};

// Head and body of an answer made here. HEAD requests get no body.
std::string local_answer_text(const local_answer& answer, bool without_body);

// One chunk of a chunked body, or the last chunk when `bytes` is empty.
std::string chunk_text(std::string_view bytes);

inline constexpr std::string_view outcome_field = "Savoryscale-Outcome";
inline constexpr std::string_view no_retry_field = "Savoryscale-No-Retry";
inline constexpr std::string_view idempotency_key_field = "Idempotency-Key";

} // namespace savoryscale::http
