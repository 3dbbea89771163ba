#pragma once

// Objects of the store, as decoded by a dialect.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::directory {

// Longer names are of no use: pages of the feed do not carry them.
inline constexpr std::size_t name_max_bytes = 256;

struct stored_object {
    std::string name_;
    std::uint64_t revision_ = 0; // of its last change
    std::uint64_t created_ = 0;  // orders objects by age
    bool removed_ = false;
    nlohmann::json value_; // null if removed or unreadable
};

// One page of the objects of a kind.
struct list_page {
    std::vector<stored_object> objects_;
    bool more_ = false;          // further pages follow
    std::uint64_t revision_ = 0; // of the store when the page was read
    std::uint64_t era_ = 0;      // of the store; 0: not named
    // Bytes of the last object's name, if they are not UTF-8 and it is therefore not in objects_.
    std::optional<std::string> unreadable_last_name_{};
};

// What changed since a revision, in order.
struct change_page {
    std::vector<stored_object> objects_;
    std::uint64_t revision_ = 0; // of the store, to continue from
    std::uint64_t era_ = 0;      // of the store; 0: not named
};

} // namespace savoryscale::directory
