#pragma once

// The organisations whose callers may use this system: their keys, allotments and priority, as the
// desired state lists them.

#include "base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::organisations {

// Bounds on what a desired state may list; one of a megabyte stays below them.
inline constexpr std::size_t organisations_max = 20'000;
inline constexpr std::size_t keys_max = 100'000; // of all organisations together
inline constexpr std::size_t name_max_bytes = 256;
inline constexpr std::size_t key_max_bytes = 512;

// Requests that all hosts together let through for one organisation: `per_second_` over time, and
// up to `burst_` saved ones at once.
struct allotment {
    double per_second_ = 0; // 0: no limit
    double burst_ = 0;      // requests

    friend bool operator==(const allotment&, const allotment&) = default;
};

struct organisation {
    std::string name_;
    std::vector<std::string> keys_;
    std::optional<std::uint32_t> priority_; // goes before the route's; 0 is served first
    allotment allotment_;

    friend bool operator==(const organisation&, const organisation&) = default;
};

// Whether the text can be the value of a header field: no control characters, no space at its ends.
bool is_field_value(std::string_view text);

// Errors: a name that is no header value or is used twice, a key that is empty or held by two
// organisations, an allotment that is no finite number of at least 0, more entries than the bounds.
result<void> check_organisations(std::span<const organisation> all);

} // namespace savoryscale::organisations
