#pragma once

// The configuration as the object API stores it and entry hosts exchange it: the two lists, the
// time at which each entry was set, and the data needed to recognise a repeated change.

#include "base/error.hpp"
#include "plans/entry.hpp"
#include "plans/lists.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::plans {

// Key of the object that holds the configuration.
inline constexpr std::string_view configuration_key = "configuration";

// Maximum size of the canonical text, in bytes. The object API stores values of up to one megabyte.
inline constexpr std::size_t max_configuration_bytes = 1'000'000;

// Records that an entry was removed from its list, and when.
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
    std::uint64_t floor_ = 0; // removals up to this version are no longer recorded
    std::vector<tombstone> removed_;
    std::vector<applied_change> recent_;

    friend bool operator==(const configuration&, const configuration&) = default;
};

// Returns the canonical text. Equal configurations give identical bytes.
std::string print(const configuration& value);

// Parses canonical text. `name` is used in error messages. Returns all errors found in one pass. A
// customer on an unknown plan is an error; service names are not checked.
validated<configuration> parse_configuration(std::string_view text, std::string_view name);

// Error for a configuration that is too large to store.
error size_error(std::string_view where, std::size_t bytes);

} // namespace savoryscale::plans
