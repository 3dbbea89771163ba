#pragma once

// Finds the organisation that holds a key. Only digests of the keys are kept and compared, so the
// time of a lookup depends neither on their number nor on how much of a key was guessed.

#include "organisations/organisation.hpp"

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savoryscale::organisations {

// SHA-256 of a key.
using key_digest = std::array<std::uint8_t, 32>;
key_digest digest_of(std::string_view key);

struct digest_hash {
    std::size_t operator()(const key_digest& digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), sizeof hash);
        return hash;
    }
};

struct key_table {
    std::vector<organisation> organisations_;                         // without their keys
    std::unordered_map<key_digest, std::size_t, digest_hash> by_key_; // index
    std::unordered_map<std::string, std::size_t> by_name_;            // index
};

// The organisations must have passed check_organisations.
key_table make_key_table(std::span<const organisation> all);

// Null if no organisation holds the key, or has the name.
const organisation* find_by_key(const key_table&, const key_digest& key);
const organisation* find_by_name(const key_table&, std::string_view name);

} // namespace savoryscale::organisations
