#pragma once

// Rules for applying an edited file to the lists. A file changes the entries that differ from its
// base. Each of them must either already have the content in the file or be unchanged since the
// base; otherwise the whole file is refused. A repeated or late change therefore never reverts a
// later one, and concurrent changes to different entries are all applied.

#include "base/error.hpp"
#include "plans/configuration.hpp"
#include "plans/edited_file.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryscale::plans {

// Tombstones kept so that a late change does not restore a removed entry. When older ones are
// dropped, the floor rises.
inline constexpr std::size_t max_tombstones = 2000;

// Change ids kept to distinguish a repeated change from a concurrent one, and to determine the
// outcome of a write whose answer was lost.
inline constexpr std::size_t max_recent_changes = 64;

enum class change_outcome : std::uint8_t {
    applied,
    already_in_force,
    refused_stale,    // the change was applied earlier and then overridden, or its base is too old
    refused_conflict, // another change has set one of its entries since its base
    refused_invalid,  // the new lists would be invalid
};

struct change_result {
    change_outcome change_outcome_ = change_outcome::refused_invalid;
    configuration next_;        // applied: the new lists; otherwise the stored ones
    std::size_t entries_ = 0;   // applied: entries that were set or removed
    std::vector<error> errors_; // refused: the entry, when it was changed, and the remedy
};

// Identifies a change. Applying the same file again gives the same id.
std::uint64_t change_id(const edited_file& file);

// Whether the change is among the recent changes recorded in the stored lists.
bool has_recent_change(const configuration& stored, std::uint64_t id);

// Applies the file to the stored lists; version 0 of `stored` means that none are stored. `now_ms`
// is wall-clock time since the epoch, stored for display only.
change_result apply_change(const configuration& stored, const edited_file& file,
                           std::int64_t now_ms);

} // namespace savoryscale::plans
