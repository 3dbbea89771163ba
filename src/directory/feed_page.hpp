#pragma once

// The directory data that one entry host sends to another: all of it, or the changes since a
// position.

#include "base/clock.hpp"
#include "directory/target_entry.hpp"
#include "peer/fact.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::directory {

struct feed_target {
    target_entry entry_;
    bool gone_ = false;
};

// The data centres whose targets are to get no requests.
struct emptied_data_centres {
    std::vector<std::string> names_; // sorted
    duration age_{};                 // time since the store confirmed them
    std::uint64_t revision_ = 0;     // store revision up to which they are known

    friend bool operator==(const emptied_data_centres&, const emptied_data_centres&) = default;
};

// A span of contact with the store (directory/store_contact.hpp), in time before the page is sent.
struct contact_ago {
    duration begun_{};
    duration confirmed_{};

    friend bool operator==(const contact_ago&, const contact_ago&) = default;
};

struct feed_page {
    std::uint64_t epoch_ = 0;            // of the sender; sequences are valid within one epoch only
    std::uint64_t sequence_ = 0;         // position to continue from
    bool complete_ = false;              // targets_ is the complete list
    duration age_{};                     // time since the store confirmed this data
    std::optional<contact_ago> contact_; // of the sender with the store; none: not told
    std::uint64_t store_era_ = 0;        // in which the revisions count; 0: not known
    std::uint64_t targets_revision_ = 0; // store revision up to which targets are known
    std::uint64_t configuration_revision_ = 0;  // the same for the desired state
    std::vector<feed_target> targets_;          // oldest first
    std::vector<std::string> rejected_targets_; // ids of entries that could not be read
    std::uint64_t version_ = 0;                 // of the desired state
    std::string document_; // the desired state as stored; empty: the reader already has it
    std::vector<peer::fact> suspicions_; // changed since the reader's position
    // The data centres to be emptied, all of them; none: the sender does not follow them.
    std::optional<emptied_data_centres> emptied_;
};

// The position in the feed up to which a reader has the data.
struct feed_position {
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t version_ = 0; // of its desired state

    friend bool operator==(const feed_position&, const feed_position&) = default;
};

} // namespace savoryscale::directory
