#pragma once

// The operators' file: the two lists to edit, and the base they were pulled at. The base holds a
// digest of each entry, so that a file shows which entries its editor changed without a copy of
// what they were.

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

// One entry as it was when the file was pulled.
struct base_entry {
    entry_id entry_;
    std::uint64_t digest_ = 0;

    friend bool operator==(const base_entry&, const base_entry&) = default;
};

// A parsed file. A file without a base has version 0 and no entries: all it names is new.
struct edited_file {
    lists lists_;                    // stamps and version are empty
    std::uint64_t base_version_ = 0; // of the lists that were pulled
    std::vector<base_entry> base_;   // sorted by entry

    friend bool operator==(const edited_file&, const edited_file&) = default;
};

// Parses a file of the lists, JSON with comments, and returns every fault found in one pass, each
// with its JSON pointer and remedy. `name` is used in errors. When `services` is not empty, plans
// may name only these.
checked<edited_file> parse_edited_file(std::string_view text, std::string_view name,
                                       std::span<const std::string> services = {});

// The file that `pull` writes: the lists in force, with the base.
std::string print_edited_file(const configuration& in_force);

} // namespace savoryscale::plans
