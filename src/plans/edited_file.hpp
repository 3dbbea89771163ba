#pragma once

// The file that operators edit: the two lists, and the base from which they were pulled. The base
// holds a digest of each entry, which shows what the operator changed without a copy of the
// original entries.

#include "base/error.hpp"
#include "plans/entry.hpp"
#include "plans/lists.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::plans {

struct configuration;

// Digest of one entry at the time the file was pulled.
struct base_entry {
    entry_id entry_;
    std::uint64_t digest_ = 0;

    friend bool operator==(const base_entry&, const base_entry&) = default;
};

// A parsed file. Without a base, the base version is 0 and every entry of the file is new.
struct edited_file {
    lists lists_;                    // stamps and version are not set
    std::uint64_t base_version_ = 0; // of the lists that were pulled
    std::vector<base_entry> base_;   // sorted by entry

    friend bool operator==(const edited_file&, const edited_file&) = default;
};

// Parses an edited file, which is JSON with comments. Returns all errors found in one pass, each
// with its JSON pointer and remedy. `name` is used in error messages. When `services` is not empty,
// plans may use only these services.
validated<edited_file> parse_edited_file(std::string_view text, std::string_view name,
                                         std::span<const std::string> services = {});

// Returns the file that `pull` writes: the lists in force and their base.
std::string print_edited_file(const configuration& in_force);

} // namespace savoryscale::plans
