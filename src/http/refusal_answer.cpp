#include "http/refusal_answer.hpp"

#include <string>
#include <string_view>

namespace savoryscale::http {

namespace {

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

} // namespace

local_answer refusal_answer(const admission::verdict& refused)
{
    return {status_of(refused.reason_), "not-run", std::string{text_of(refused.reason_)},
            refused.retry_after_, false};
}

} // namespace savoryscale::http
