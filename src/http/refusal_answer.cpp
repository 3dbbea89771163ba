#include "http/refusal_answer.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

int status_of(admission::refusal reason)
{
    switch (reason) {
    case admission::refusal::not_allowed:
        return status_forbidden;
    case admission::refusal::rate:
    case admission::refusal::concurrency:
        return status_too_many;
    default:
        return status_unavailable;
    }
}

std::string_view text_of(admission::refusal reason)
{
    switch (reason) {
    case admission::refusal::no_lists:
        return "no configuration is in force on this host yet; use another";
    case admission::refusal::not_allowed:
        return "the customer's plan does not include this service";
    case admission::refusal::rate:
        return "over the plan's calls per second; wait and send again";
    case admission::refusal::concurrency:
        return "over the plan's calls at once; wait for one to end";
    default:
        return "the service is short of capacity; wait and send again";
    }
}

int status_of(admission::refusal_cause cause)
{
    if (cause == admission::refusal_cause::over_allotment) {
        return status_too_many;
    }
    const bool is_key = admission::check_of(cause) == admission::send_check::caller &&
                        cause != admission::refusal_cause::keys_outdated;
    return is_key ? status_unauthorized : status_unavailable;
}

std::string_view text_of(admission::refusal_cause cause)
{
    using admission::refusal_cause;
    switch (cause) {
    case refusal_cause::key_missing:
        return "the request carries no key; send one";
    case refusal_cause::key_malformed:
        return "the request's key cannot be read; send one key in one header field";
    case refusal_cause::key_unknown:
        return "no organisation holds the request's key; send another one";
    case refusal_cause::keys_outdated:
        return "the organisations known to this host are out of date; use another";
    case refusal_cause::over_allotment:
        return "over the organisation's requests per second; wait and send again";
    case refusal_cause::target_limits:
        return "all targets have reached the limit that they name; send the request again later";
    case refusal_cause::no_room:
        return "the service is short of capacity; wait and send again";
    default:
        return "the request was not run; it is safe to send it again";
    }
}

} // namespace

local_answer refusal_answer(const admission::verdict& refused)
{
    return {status_of(refused.reason_), "not-run", std::string{text_of(refused.reason_)},
            refused.retry_after_, false};
}

local_answer refusal_answer(const admission::send_verdict& refused)
{
    return {status_of(refused.cause_), "not-run", std::string{text_of(refused.cause_)},
            refused.retry_after_, false};
}

} // namespace savoryscale::http
