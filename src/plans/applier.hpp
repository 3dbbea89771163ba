#pragma once

// Carries one file through the object API: reads the lists, applies the file, writes the result on
// the condition that nothing was written in between, and reads again when it was. A write whose
// answer was lost is settled by reading alone; it is never sent a second time.

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
    bool dry_run_ = false;                  // decide, but write nothing
    std::uint32_t max_failed_calls_ = 5;    // calls without an answer
    std::uint32_t max_settling_reads_ = 10; // reads after a lost answer that show no write
    std::uint32_t max_races_ = 50;          // writes that another write came before
    duration backoff_min_ = std::chrono::milliseconds{100};
    duration backoff_max_ = std::chrono::seconds{2};
};

enum class apply_end : std::uint8_t {
    applied,
    already_in_force,
    refused_stale,
    refused_conflict,
    refused_invalid,
    unknown, // the object API gave no answer to rely on
};

// What came of the file. `version_` is that of the lists it was judged against or, when applied, of
// those it made.
struct apply_report {
    apply_end end_ = apply_end::unknown;
    std::uint64_t version_ = 0;
    std::size_t entries_ = 0;
    std::vector<error> faults_;
};

enum class applier_action : std::uint8_t { read, create, update, done };

// What to do next, after waiting for wait_: a call on plans::configuration_key, or nothing more.
struct applier_step {
    applier_action action_ = applier_action::done;
    duration wait_{};
    std::string text_;                   // create, update: the value
    std::uint64_t expected_version_ = 0; // update: of the object
    apply_report report_;                // done
};

enum class applier_phase : std::uint8_t {
    reading,
    writing,
    settling, // reads after a write without an answer
};

// State of one application. All members are its own.
struct applier {
    edited_file file_;
    applier_options options_;
    std::uint64_t change_id_ = 0;
    applier_phase phase_ = applier_phase::reading;
    std::uint64_t object_version_ = 0;  // that the write was conditional on; 0: that there was none
    std::uint64_t written_version_ = 0; // of the lists in that write
    std::size_t written_entries_ = 0;
    std::uint32_t failed_calls_ = 0;
    std::uint32_t settling_reads_ = 0;
    std::uint32_t races_ = 0;
};

// An applier of the file; its first step is a read.
applier make_applier(edited_file file, const applier_options& options);
applier_step first_step(const applier& state);

// Takes the answer to the step's call. `now_ms` is wall clock, kept in the entries for people.
applier_step on_reply(applier& state, const store::object_reply& reply, std::int64_t now_ms,
                      random_source& random);

} // namespace savoryscale::plans
