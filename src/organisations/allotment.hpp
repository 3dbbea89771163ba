#pragma once

// What hosts tell a granter about the use of allotments, and what it answers. An allotment binds
// all hosts together. While an organisation is far below its own, hosts let its requests through
// and report their number later; near the limit, the granter grants each request.

#include "base/clock.hpp"
#include "organisations/organisation.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryscale::organisations {

// An organisation or a host by a hash of its name.
using name_hash = std::uint64_t;
name_hash hash_of_name(std::string_view name);

inline constexpr std::size_t reported_organisations_max = 256; // in one report
inline constexpr std::size_t near_limit_max = 256;             // in one answer

// A host that reports nothing for this long is on its own, for itself and for its granter. Two
// reports and an answer may be late or lost before.
inline constexpr std::chrono::milliseconds contact_time{1200};

// The part of a host that has no granter belongs to it for this long after that. Hosts that are
// restarted are back sooner; the part of one that is gone for good is unused until then.
inline constexpr std::chrono::seconds part_time{20};

struct reported_use {
    name_hash organisation_ = 0;
    std::int32_t used_ = 0; // requests let through without a grant; negative: returned ones
    std::uint32_t wanted_ = 0;

    friend bool operator==(const reported_use&, const reported_use&) = default;
};

struct use_report {
    name_hash host_ = 0;
    // That share the allotments, as the granter before this one said; 0: there was none.
    std::uint32_t hosts_ = 0;
    std::vector<reported_use> uses_;

    friend bool operator==(const use_report&, const use_report&) = default;
};

struct use_grant {
    name_hash organisation_ = 0;
    std::uint32_t granted_ = 0; // of those wanted
    duration wait_{};           // until another one may be granted

    friend bool operator==(const use_grant&, const use_grant&) = default;
};

struct use_answer {
    std::uint32_t hosts_ = 1;     // that share the allotments
    bool all_near_limit_ = false; // there are too many to be named
    std::vector<use_grant> near_limit_;

    friend bool operator==(const use_answer&, const use_answer&) = default;
};

// The parts of what may be let through too much: hosts without a granter may use one together, one
// is for hosts that come to a granter which has saved nothing yet, and as much as one is saved
// beside the burst. The rest is for requests that hosts let through before they know that the limit
// is near.
inline constexpr double alone_part = 0.35;
inline constexpr double welcome_part = 0.2;
inline constexpr double saved_part = 0.15;
inline constexpr double unheard_part = 1 - alone_part - welcome_part - saved_part;

// An organisation is near its limit below this part of what can be saved.
inline constexpr double near_limit_part = 0.5;

// Requests by which the bounds allow all hosts together to exceed the allotment in one window.
double spare_of(const allotment&, const settings::allotment_bounds&);

} // namespace savoryscale::organisations
