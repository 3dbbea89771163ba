#pragma once

// Entries of the two lists: their identifiers and digests. Versions, conflicts and removals are
// tracked per entry.

#include "plans/lists.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace savoryscale::plans {

enum class list_kind : std::uint8_t { customers, plans };

// Identifies one entry of one list.
struct entry_id {
    list_kind list_ = list_kind::customers;
    std::string name_;

    friend bool operator==(const entry_id&, const entry_id&) = default;
    friend bool operator<(const entry_id& a, const entry_id& b)
    {
        return std::tie(a.list_, a.name_) < std::tie(b.list_, b.name_);
    }
};

// JSON pointer of the entry in an edited file, such as "/customers/mobile-buyers".
std::string to_pointer(const entry_id& entry);

// Digest of an entry's content without its stamp. Equal contents have equal digests.
std::uint64_t digest(const customer& entry);
std::uint64_t digest(const plan& entry);

} // namespace savoryscale::plans
