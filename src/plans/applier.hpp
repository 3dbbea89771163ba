#pragma once

// Applies one edited file to the lists in the object API: reads the lists, applies the file, and
// writes the result conditionally on the version read. On a version conflict it reads again. If the
// answer to a write is lost, only reads determine its outcome; that write is never resent.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "plans/change.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::store {
struct object_reply;
} // namespace savoryscale::store

namespace savoryscale::plans {

struct applier_options {
    bool dry_run_ = false;                   // check the file against the lists, but write nothing
    std::uint32_t max_failed_calls_ = 5;     // calls without an answer
    std::uint32_t max_resolving_reads_ = 10; // reads that do not show a write whose answer was lost
    std::uint32_t max_write_conflicts_ = 50; // writes rejected for an outdated version
    duration backoff_min_ = std::chrono::milliseconds{100};
    duration backoff_max_ = std::chrono::seconds{2};
};

enum class apply_outcome : std::uint8_t {
    applied,
    already_in_force,
    refused_stale,
    refused_conflict,
    refused_invalid,
    unknown, // the outcome could not be determined from the object API
};

// Result of applying a file. `version_` is the version of the new lists if it was applied,
// otherwise of the lists that it was compared with.
struct apply_report {
    apply_outcome apply_outcome_ = apply_outcome::unknown;
    std::uint64_t version_ = 0;
    std::size_t entries_ = 0;
    std::vector<error> errors_;
};

enum class applier_action : std::uint8_t { read, create, update, done };

// The next action, to be taken after wait_: a call for plans::configuration_key, or none when done.
struct applier_step {
    applier_action action_ = applier_action::done;
    duration wait_{};
    std::string text_;                   // create, update: value to write
    std::uint64_t expected_version_ = 0; // update: expected version of the object
    apply_report report_;                // done: the result
};

enum class applier_phase : std::uint8_t {
    reading,
    writing,
    resolving, // reading to find out whether a write without an answer took effect
};

// State of applying one file. Callers do not access the members.
struct applier {
    edited_file file_;
    applier_options options_;
    std::uint64_t change_id_ = 0;
    applier_phase phase_ = applier_phase::reading;
    std::uint64_t object_version_ = 0;  // expected by the write; 0: the object did not exist
    std::uint64_t written_version_ = 0; // version of the lists in that write
    std::size_t written_entries_ = 0;
    std::uint32_t failed_calls_ = 0;
    std::uint32_t resolving_reads_ = 0;
    std::uint32_t write_conflicts_ = 0;
};

// Creates an applier for the file. Its first step is a read.
applier make_applier(edited_file file, const applier_options& options);
applier_step first_step(const applier& state);

// Handles the reply to the step's call. `now_ms` is wall-clock time, stored in the entries for
// display only.
applier_step on_reply(applier& state, const store::object_reply& reply, std::int64_t now_ms,
                      random_source& random);

} // namespace savoryscale::plans
