// The part of a call that makes the checks of admission/send_check.hpp.

#include "http/caller_connection.hpp"
#include "http/head_text.hpp"
#include "http/http_task.hpp"
#include "http/proxied_call.hpp"
#include "http/refusal_answer.hpp"
#include "organisations/caller_key.hpp"
#include "routes/table.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <vector>

namespace savoryscale::http {

namespace {

constexpr int status_bad_gateway = 502;

// Callers return when a host that is behind should have the list of keys.
constexpr duration keys_retry_after = std::chrono::milliseconds{200};

} // namespace

// Takes the key and any organisation that the caller names out of the head, so that nothing that is
// made from the head can show them.
admission::send_verdict proxied_call::identify_caller()
{
    const settings::header_names& names = http_task_.config().header_names_;
    const auto erase_fields = [this](std::string_view name) {
        std::erase_if(head_.fields_, [name](const header_field& field) {
            return equal_ignoring_case(field.name_, name);
        });
    };
    if (!names.organisation_.empty()) {
        erase_fields(names.organisation_);
    }
    if (!routes_->keys_) {
        return {};
    }
    const relayed_caller named = is_relayed() ? read_relayed_caller(head_) : relayed_caller{};
    if (!named.organisation_.empty()) {
        erase_fields(names.key_);
        organisation_ = organisations::find_by_name(*routes_->keys_, named.organisation_);
        return organisation_ != nullptr
                   ? admission::send_verdict{}
                   : admission::send_verdict{admission::refusal_cause::keys_outdated,
                                             keys_retry_after};
    }
    std::vector<std::string_view> values;
    for (const header_field& field : head_.fields_) {
        if (equal_ignoring_case(field.name_, names.key_)) {
            values.push_back(field.value_);
        }
    }
    using organisations::key_reading;
    const auto read = organisations::read_caller_key(values, names.key_scheme_);
    if (read.reading_ == key_reading::valid) {
        key_ = organisations::digest_of(read.key_);
        organisation_ = organisations::find_by_key(*routes_->keys_, *key_);
    }
    const admission::refusal_cause cause =
        read.reading_ == key_reading::missing     ? admission::refusal_cause::key_missing
        : read.reading_ == key_reading::malformed ? admission::refusal_cause::key_malformed
                                                  : admission::refusal_cause::key_unknown;
    erase_fields(names.key_);
    // A key that was withdrawn meanwhile might be taken for valid.
    if (organisation_ != nullptr && http_task_.has_outdated_keys()) {
        organisation_ = nullptr;
        return route_->needs_key_ ? admission::send_verdict{admission::refusal_cause::keys_outdated,
                                                            keys_retry_after}
                                  : admission::send_verdict{};
    }
    if (organisation_ != nullptr || !route_->needs_key_) {
        return {};
    }
    return {cause, std::nullopt};
}

// A key may have been withdrawn since the call began, before the request is sent to a target.
admission::send_verdict proxied_call::check_caller_again() const
{
    const auto& current = http_task_.routes();
    if (organisation_ != nullptr && key_ && http_task_.has_outdated_keys()) {
        return {admission::refusal_cause::keys_outdated, keys_retry_after};
    }
    if (organisation_ == nullptr || current == routes_ || !current->keys_) {
        return {};
    }
    const organisations::organisation* holder =
        key_ ? organisations::find_by_key(*current->keys_, *key_)
             : organisations::find_by_name(*current->keys_, organisation_->name_);
    const bool is_same = holder != nullptr && holder->name_ == organisation_->name_;
    return is_same ? admission::send_verdict{}
                   : admission::send_verdict{admission::refusal_cause::key_unknown, std::nullopt};
}

void proxied_call::refuse(const admission::send_verdict& refused)
{
    count_refusal(refused.cause_);
    refuse(refusal_answer(refused));
}

void proxied_call::count_refusal(admission::refusal_cause cause)
{
    http_task_.metrics().send_refusals_[cause].Increment();
    telemetry::decided("send_refused", request_id_,
                       {{"check", std::string{to_string(admission::check_of(cause))}},
                        {"cause", std::string{to_string(cause)}},
                        {"organisation", organisation_ != nullptr ? organisation_->name_ : ""},
                        {"version", std::to_string(routes_->state_.version_)}});
}

// The call ends before the request reaches this target. An earlier attempt may have run it; then
// the answer makes no promise.
void proxied_call::refuse_before_sending(const admission::send_verdict& refused)
{
    const bool may_have_run = dispatch::may_have_run(state_);
    execute(dispatch::on_caller_left(state_)); // cancels the attempts
    count_refusal(refused.cause_);
    local_answer answer = refusal_answer(refused);
    if (may_have_run) {
        answer.status_ = status_bad_gateway;
        answer.outcome_ = "unknown";
    }
    refuse(std::move(answer));
}

// 0 is served first.
std::uint32_t proxied_call::priority() const
{
    return organisation_ != nullptr ? organisation_->priority_.value_or(route_->priority_)
                                    : route_->priority_;
}

} // namespace savoryscale::http
