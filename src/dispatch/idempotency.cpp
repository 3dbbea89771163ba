#include "dispatch/idempotency.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <initializer_list>
#include <memory>

namespace savoryscale::dispatch {

namespace {

using store::call_status;
using store::operation;

constexpr std::uint8_t failed_calls_max = 4; // from this many on, the request is refused
constexpr duration backoff_base = std::chrono::milliseconds{10};

constexpr int status_conflict = 409;
constexpr int status_other_request = 422;
constexpr int status_unavailable = 503;

// A hash of all parts in order. Lengths are hashed too, so that different splits of a text differ.
std::string hash_of(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state{XXH3_createState(),
                                                                         &XXH3_freeState};
    XXH3_128bits_reset(state.get());
    for (const std::string_view part : parts) {
        const std::uint64_t length = part.size();
        XXH3_128bits_update(state.get(), &length, sizeof length);
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::string print_record(const idempotency_record& record)
{
    const nlohmann::json printed{{"attempt", record.attempt_},
                                 {"digest", record.digest_},
                                 {"host", record.host_},
                                 {"started_ms", record.started_ms_}};
    return printed.dump();
}

// A string member of a stored record; empty when it is missing.
std::string member_of(const nlohmann::json& record, std::string_view name)
{
    const auto member = record.find(name);
    return member != record.end() && member->is_string() ? member->get<std::string>() : "";
}

claim_action refuse(idempotency_claim& claim, int status, bool may_have_run)
{
    claim.phase_ = claim_phase::finished;
    claim_action action;
    action.kind_ = claim_action_kind::refuse;
    action.status_ = status;
    action.may_have_run_ = may_have_run;
    return action;
}

claim_action proceed(idempotency_claim& claim, std::uint64_t held_version)
{
    claim.phase_ = claim_phase::finished;
    claim.held_version_ = held_version;
    claim_action action;
    action.kind_ = claim_action_kind::proceed;
    return action;
}

claim_action submit(idempotency_claim& claim, claim_phase phase, duration wait)
{
    claim.phase_ = phase;
    claim_action action;
    action.kind_ = claim_action_kind::submit;
    action.wait_ = wait;
    action.call_.key_ = claim.object_key_;
    action.call_.timeout_ = claim.call_timeout_;
    if (phase == claim_phase::creating) {
        action.call_.operation_ = operation::create;
        action.call_.value_ = print_record(claim.record_);
    }
    return action;
}

// Submits another call with backoff after an inconclusive one, unless too many failed or the
// deadline is near. The request has not left this host.
claim_action retry_call(idempotency_claim& claim, claim_phase phase, time_point now)
{
    ++claim.failed_calls_;
    const duration wait = backoff_base * (1U << claim.failed_calls_);
    if (claim.failed_calls_ >= failed_calls_max || now + wait >= claim.deadline_) {
        return refuse(claim, status_unavailable, false);
    }
    return submit(claim, phase, wait);
}

// A record exists at the key: ours, one of the same request, or one of another request.
claim_action check_existing_record(idempotency_claim& claim, const store::object& stored)
{
    const auto record = nlohmann::json::parse(stored.value_, nullptr, false);
    if (!record.is_object()) {
        return refuse(claim, status_conflict, true);
    }
    if (member_of(record, "attempt") == claim.record_.attempt_) {
        return proceed(claim, stored.version_);
    }
    const bool same_request = member_of(record, "digest") == claim.record_.digest_;
    return refuse(claim, same_request ? status_conflict : status_other_request, same_request);
}

claim_action on_created(idempotency_claim& claim, const store::object_reply& reply, time_point now)
{
    switch (reply.status_) {
    case call_status::ok:
        return proceed(claim, reply.objects_.empty() ? 0 : reply.objects_.front().version_);
    case call_status::conflict:
        return submit(claim, claim_phase::reading, duration::zero());
    case call_status::unknown: // it may have been stored: read before creating again
        return retry_call(claim, claim_phase::reading, now);
    default: // no effect
        return refuse(claim, status_unavailable, false);
    }
}

claim_action on_read(idempotency_claim& claim, const store::object_reply& reply, time_point now)
{
    if (reply.status_ == call_status::ok && !reply.objects_.empty()) {
        return check_existing_record(claim, reply.objects_.front());
    }
    if (reply.status_ == call_status::not_found) {
        return retry_call(claim, claim_phase::creating,
                          now); // the create is conditional, so repeating it is safe
    }
    return retry_call(claim, claim_phase::reading, now);
}

} // namespace

std::string idempotency_object_key(std::string_view service, std::string_view customer,
                                   std::string_view idempotency_key)
{
    return fmt::format("idempotency/{}/{}", service, hash_of({customer, idempotency_key}));
}

std::string request_digest(std::string_view method, std::string_view path, std::string_view body)
{
    return hash_of({method, path, body});
}

claim_action begin_claim(idempotency_claim& claim)
{
    return submit(claim, claim_phase::creating, duration::zero());
}

claim_action on_reply(idempotency_claim& claim, const store::object_reply& reply, time_point now)
{
    if (claim.phase_ == claim_phase::creating) {
        return on_created(claim, reply, now);
    }
    return on_read(claim, reply, now);
}

std::optional<store::object_call> release(idempotency_claim& claim)
{
    if (claim.held_version_ == 0) {
        return std::nullopt;
    }
    store::object_call call;
    call.operation_ = operation::remove;
    call.key_ = claim.object_key_;
    call.expected_version_ = claim.held_version_;
    call.timeout_ = claim.call_timeout_;
    claim.held_version_ = 0;
    return call;
}

} // namespace savoryscale::dispatch
