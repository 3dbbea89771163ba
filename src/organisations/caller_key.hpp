#pragma once

// Reads the key that a request carries: "SCHEME KEY" in one header field.

#include <cstdint>
#include <span>
#include <string_view>

namespace savoryscale::organisations {

enum class key_reading : std::uint8_t {
    missing,
    malformed, // several fields, another scheme, or bytes that no key has
    valid,
};

struct caller_key {
    key_reading reading_ = key_reading::missing;
    std::string_view key_; // part of the field's value
};

// `values`: of all fields with the key's name. The scheme's case does not matter.
caller_key read_caller_key(std::span<const std::string_view> values, std::string_view scheme);

} // namespace savoryscale::organisations
