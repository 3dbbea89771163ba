#pragma once

// The checks that a request passes before it is sent to a target, in the order of send_check: one
// that is refused costs nothing of what the later ones hand out. The first check and the last one
// are repeated at the moment at which the request is sent.

#include "base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savoryscale::admission {

enum class send_check : std::uint8_t {
    caller,    // whose request it is
    allotment, // what the caller's organisation may still use
    room,      // whether a request like this one is served while capacity is short
    target,    // a target that may take it now
};

enum class refusal_cause : std::uint8_t {
    none, // not refused
    key_missing,
    key_malformed,
    key_unknown,   // or withdrawn
    keys_outdated, // this host's list of keys is too old to rely on
    over_allotment,
    no_room,       // others are served first
    no_target,     // none is free in time
    target_limits, // all targets have reached the limit that they name
};

struct send_verdict {
    refusal_cause cause_ = refusal_cause::none;
    std::optional<duration> retry_after_; // none: no time is known

    [[nodiscard]] bool is_passed() const { return cause_ == refusal_cause::none; }
};

// The check that refuses for this cause; the last one for `none`.
constexpr send_check check_of(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::key_missing:
    case refusal_cause::key_malformed:
    case refusal_cause::key_unknown:
    case refusal_cause::keys_outdated:
        return send_check::caller;
    case refusal_cause::over_allotment:
        return send_check::allotment;
    case refusal_cause::no_room:
        return send_check::room;
    default:
        return send_check::target;
    }
}

// Names in logs and metrics.
constexpr std::string_view to_string(send_check check)
{
    constexpr std::array<std::string_view, 4> names{"caller", "allotment", "room", "target"};
    return names[static_cast<std::size_t>(check)];
}

inline constexpr std::array<std::string_view, 9> refusal_cause_names{
    "none",           "key_missing", "key_malformed", "key_unknown",  "keys_outdated",
    "over_allotment", "no_room",     "no_target",     "target_limits"};

constexpr std::string_view to_string(refusal_cause cause)
{
    return refusal_cause_names[static_cast<std::size_t>(cause)];
}

} // namespace savoryscale::admission
