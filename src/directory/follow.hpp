#pragma once

// Follows one kind of the store's objects: reads the complete list, then watches for changes from
// its revision. Decides which call is due and interprets responses; follower.hpp makes the calls.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "directory/store_era.hpp"
#include "directory/stored_object.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savoryscale::directory {

struct follow_options {
    duration pause_{};                         // between a response and the next watch
    duration wait_ = std::chrono::seconds{20}; // of a watch without changes
    // The first list may be seconds out of date, which is cheaper for the store. It is held back
    // until the watch from its revision has brought it up to date, which follows at once.
    bool allow_stale_first_list_ = false;
    duration backoff_min_ = std::chrono::milliseconds{50};
    duration backoff_max_ = std::chrono::milliseconds{800};
    // Shortest backoff from the second failure in a row on. A single lost answer is retried at
    // once; in an outage the calls of many hosts must not add up.
    duration later_backoff_min_{};
};

struct follow_state {
    follow_options options_;
    bool listed_ = false;                       // the list is complete; watching from revision_
    bool needs_consistent_list_ = false;        // the next list must not be stale
    bool confirmed_ = false;                    // up-to-date data was received since the list
    std::uint64_t revision_ = 0;                // store revision up to which all changes are known
    std::uint64_t era_ = 0;                     // of the store, for the revision; 0: not known
    bool resumed_ = false;                      // the revision came from another source
    std::string after_;                         // the next page begins after this name
    std::set<std::string> continued_after_;     // names that were after_ since the list began
    bool skips_odd_names_ = false;              // this list continues after plain names only
    std::string unlisted_name_;                 // of an object to read before the next page
    std::vector<stored_object> listed_objects_; // from the pages so far, or of a stale list
    bool has_stale_list_ = false;               // listed_objects_ is a complete list, held back
    std::uint64_t oldest_revision_ = 0;         // of the pages so far
    time_point due_{};
    std::uint32_t failures_ = 0; // consecutive
    std::optional<time_point> failing_since_;
    time_point short_waits_until_{}; // a watch may miss changes until then; see follow.cpp
};

// The call to make when due_ has come.
struct follow_call {
    bool watch_ = false;
    std::string after_;          // list: the page begins after this name
    std::uint64_t revision_ = 0; // watch: changes after this revision
    duration wait_{};            // watch: how long the store may hold the response
    bool allow_stale_ = false;   // list: stale data is allowed
    std::string name_{};         // not empty: read this object only
};

// The result of a response. Never contains data that may be stale.
struct follow_update {
    bool complete_ = false; // objects_ is the complete list
    std::vector<stored_object> objects_;
    std::optional<duration> outage_duration_; // set when the store responds again
    bool stalled_ = false; // the page does not continue the list: the call has failed
    // Names from this one on are skipped up to the next plain one, since the store reads it
    // differently in a call, or may have refused it.
    std::optional<std::string> skipped_from_;
};

follow_call next_call(const follow_state&, time_point now);

// Continues from data that came from another source, up to the position.
// `failing_since`: since when the store is known to be unavailable.
void resume_from(follow_state&, const store_position& known,
                 std::optional<time_point> failing_since);

// Whether the revision known means nothing in this era of the store, so that a watch from it may
// lack changes. The list must be read again.
bool is_from_other_era(const follow_state&, std::uint64_t era);

// Handle one page of the list, or the changes since the last response.
follow_update on_list_page(follow_state&, list_page page, time_point now);
follow_update on_changes(follow_state&, change_page page, time_point now);

// Handles the answer to the read of an object, which the list has skipped. None: there is no such
// object.
void on_object(follow_state&, std::optional<stored_object> object, std::uint64_t era,
               time_point now);

// What a source says, and since when: the answer to a call by when the call began, another host's
// word by when it came.
struct known_revision {
    std::uint64_t revision_ = 0;
    time_point since_{};
};

// Whether the answer lacks changes of which another host has told while the call was in progress.
bool is_overtaken(const known_revision& answered, const known_revision& told);

// The store no longer has the history after the watched revision: the list is read again.
void on_history_gone(follow_state&, time_point now);

// There was no response, or an unusable one. No part of it was applied.
void on_call_failed(follow_state&, time_point now, random_source&);

} // namespace savoryscale::directory
