#pragma once

// The configuration as the object API holds it and as entry hosts pass it on: the two lists, when
// each entry was set, and what is needed to recognise a change that arrives a second time.

#include "base/error.hpp"
#include "plans/entry.hpp"
#include "plans/lists.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::plans {

// Key of the one object that holds the configuration.
inline constexpr std::string_view configuration_key = "configuration";

// Largest canonical text, in bytes. The object API holds values up to one megabyte.
inline constexpr std::size_t max_configuration_bytes = 1'000'000;

// An entry that was taken out of its list, and when.
struct tombstone {
    entry_id entry_;
    stamp stamp_;

    friend bool operator==(const tombstone&, const tombstone&) = default;
};

// A change that took effect. `id_` is the digest of its base version and its edits.
struct applied_change {
    std::uint64_t id_ = 0;
    std::uint64_t version_ = 0;

    friend bool operator==(const applied_change&, const applied_change&) = default;
};

// The lists with their history. `removed_` is sorted by entry, `recent_` by version.
struct configuration {
    lists lists_;
    std::uint64_t floor_ = 0; // removals up to this version are forgotten
    std::vector<tombstone> removed_;
    std::vector<applied_change> recent_;

    friend bool operator==(const configuration&, const configuration&) = default;
};

// Canonical text: equal configurations have equal bytes.
std::string print(const configuration& value);

// Parses canonical text. `name` is used in errors. Returns every fault found in one pass; lists
// that name an unknown plan are a fault, services are not checked.
checked<configuration> parse_configuration(std::string_view text, std::string_view name);

// The fault of a configuration that is too large to store.
error size_fault(std::string_view where, std::size_t bytes);

} // namespace savoryscale::plans
