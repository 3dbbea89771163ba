#pragma once

// Serializes the heads that the load balancer sends: forwarded requests, forwarded answers and
// locally generated answers.

#include "base/clock.hpp"
#include "http/head.hpp"
#include "settings/settings.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::http {

// Between entry hosts only.
inline constexpr std::string_view relayed_caller_field = "Savoryscale-Caller";

// Whether the field is not forwarded, because it applies to one connection only or because the load
// balancer sets it itself.
bool is_hop_by_hop(const message_head& head, std::string_view name,
                   const settings::header_names& names);

// Fields that the load balancer adds to a request to an upstream.
struct forwarded_fields {
    std::string traceparent_;         // empty: none
    std::string request_id_;          // the upstream may echo it; see has_matching_request_id
    std::string expect_instance_;     // the only instance that may run the request; empty: any
    std::string relayed_caller_;      // see relayed_caller_text; empty: not for another host
    std::string_view organisation_;   // whose caller sent the request; empty: not known
    duration remaining_{};            // time until the deadline
    bool allow_inner_retries_ = true; // false: adds a field that tells later hops not to retry
};

// Head of a request to an upstream. The body must follow in the framing that `head` declares.
std::string upstream_request_text(const request_head& head, const forwarded_fields& added,
                                  const settings::header_names& names);

// Head of a forwarded answer. `close` adds "Connection: close".
std::string caller_answer_text(const answer_head& head, bool close,
                               const settings::header_names& names);

// Whether the answer belongs to the request. An echoed request id must match; an answer without one
// is accepted.
bool has_matching_request_id(const answer_head& head, std::string_view request_id,
                             const settings::header_names& names);

// A locally generated answer: status, outcome ("not-run" or "unknown") and a short explanation.
struct local_answer {
    int status_ = 503;
    std::string_view outcome_ = "not-run";
    std::string text_;
    std::optional<duration> retry_after_;
    bool close_ = false;
    bool targets_unreached_ = false; // for another host: no target answers this one either
    bool fractional_ = false;        // write Retry-After with fractions of a second
};

// Head and body of a locally generated answer. Answers to HEAD requests have no body.
std::string local_answer_text(const local_answer& answer, bool without_body);

// The caller of a request that one host hands to another. Hosts remove the field from the requests
// of callers, releases before the first formats too.
struct relayed_caller {
    std::string_view ip_;
    std::string_view organisation_; // empty: not known

    friend bool operator==(const relayed_caller&, const relayed_caller&) = default;
};

// The value of relayed_caller_field, and its parts.
std::string relayed_caller_text(const relayed_caller& caller);
relayed_caller read_relayed_caller(const message_head& head);

// One chunk of a chunked body; none for no bytes, since a chunk of none is the last one.
std::string chunk_text(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

inline constexpr std::string_view outcome_field = "Savoryscale-Outcome";
inline constexpr std::string_view no_retry_field = "Savoryscale-No-Retry";
// Between entry hosts only.
inline constexpr std::string_view unreached_field = "Savoryscale-Targets-Unreached";
inline constexpr std::string_view idempotency_key_field = "Idempotency-Key";

} // namespace savoryscale::http
