#pragma once

// The change rules of the lists. A file changes the entries that differ from its base. Each such
// entry must be as the file wants it already, or must not have been set since the base; otherwise
// the whole file is refused. So a change that arrives twice or late never undoes a later one, and
// racing changes land together when they touch different entries.

#include "base/error.hpp"
#include "plans/configuration.hpp"
#include "plans/edited_file.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryscale::plans {

// Removals kept, so that a late change does not bring an entry back. Older ones are forgotten and
// raise the floor.
inline constexpr std::size_t max_tombstones = 2000;

// Changes kept by id, to tell a rerun from a race and to settle a lost acknowledgement.
inline constexpr std::size_t max_recent_changes = 64;

enum class verdict : std::uint8_t {
    applied,
    already_in_force,
    refused_stale,    // the change was in force before and was overruled, or its base is too old
    refused_conflict, // another change set one of its entries since its base
    refused_invalid,  // the lists would break a rule
};

struct change_result {
    verdict verdict_ = verdict::refused_invalid;
    configuration next_;        // applied: the new lists; else the stored ones
    std::size_t entries_ = 0;   // applied: entries that were set or removed
    std::vector<error> faults_; // refused: the entry, since when, and the remedy
};

// Identifies a change: equal for two runs of the same file.
std::uint64_t change_id(const edited_file& file);

// Whether the stored lists have this change among the recent ones.
bool has_recent_change(const configuration& stored, std::uint64_t id);

// Applies the file to the stored lists. `stored` with version 0 stands for none. `now_ms` is wall
// clock, since the epoch, and only kept for people to read.
change_result apply_change(const configuration& stored, const edited_file& file,
                           std::int64_t now_ms);

} // namespace savoryscale::plans
