#pragma once

// What a host knows of the granters of limited requests, and its decision which one to ask next;
// see limit_granter.hpp.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "routing/limit_granter.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::routing {

struct known_granter {
    time_point unreachable_until_{};
    std::uint32_t failures_ = 0;                                  // consecutive
    std::map<std::string, time_point, std::less<>> denied_until_; // by target
};

struct grant_book {
    std::vector<known_granter> granters_;
};

// The granter to ask next, with the wishes it may grant; none: the request is denied.
struct grant_question {
    std::size_t granter_ = 0;
    std::vector<std::size_t> wishes_; // indices
};
std::optional<grant_question> next_question(const grant_book&, std::span<const grant_wish> wishes,
                                            const std::vector<bool>& asked, time_point now,
                                            random_source&);

// Whether a granter might grant a request to the target now.
bool may_be_granted(const grant_book&, std::string_view target, time_point now);

void on_grant_answer(grant_book&, const grant_question&, std::span<const grant_wish> wishes,
                     const grant_answer&, time_point now);
void on_granter_failed(grant_book&, std::size_t granter, time_point now);

// Retry-After of a request that was denied: the earliest time at which a grant is expected, and a
// random part, so that callers who were denied together return apart. Granters may give the first
// grants to others.
duration retry_after_denial(const grant_book&, std::span<const grant_wish> wishes, time_point now,
                            random_source&);

} // namespace savoryscale::routing
