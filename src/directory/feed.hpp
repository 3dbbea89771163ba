#pragma once

// This host's directory data, with a sequence number for each change, so that another host can be
// sent either all of it or only the changes.

#include "base/clock.hpp"
#include "directory/emptied.hpp"
#include "directory/feed_page.hpp"
#include "directory/store_contact.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savoryscale::directory {

struct registry;

struct feed_item {
    target_entry entry_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0; // of its last change
    time_point updated_at_{};
    bool gone_ = false;
};

// A request that crashed targets, for all hosts.
struct feed_suspicion {
    peer::fact fact_; // its lifetime counts from `updated_at_`
    std::uint64_t sequence_ = 0;
    time_point updated_at_{};
};

inline constexpr std::size_t feed_suspicions_max = 256;

struct feed {
    std::uint64_t epoch_ = 0; // starts as a random number, drawn when the host starts
    std::uint64_t sequence_ = 0;
    std::map<std::string, feed_item, std::less<>> items_; // by id of the target
    std::size_t gone_count_ = 0;
    std::map<std::string, feed_suspicion> suspicions_; // by subject, at most feed_suspicions_max
    std::uint64_t version_ = 0;
    std::string document_;
    std::uint64_t store_era_ = 0; // in which the revisions count; 0: not known
    std::uint64_t targets_revision_ = 0;
    std::uint64_t configuration_revision_ = 0;
    std::optional<emptied_list> emptied_; // none: not known, or not followed
    std::optional<contact_span> contact_; // of this host with the store
};

// Records the changes among the targets. Returns whether there are any. Those that the store does
// not list count as gone: each reader decides itself whether to keep them.
bool update_targets(feed&, const registry&, time_point now);

// Records a new or changed suspicion. The one that changed longest ago makes room.
void update_suspicion(feed&, const peer::fact&, time_point now);

// Records the list of data centres to be emptied. Returns whether other names are known than
// before.
bool update_emptied(feed&, emptied_list);

// The store names another era: revisions of the last one mean nothing in it.
void set_store_era(feed&, std::uint64_t era);

void update_desired_state(feed&, std::uint64_t version, std::string document);

// Whether the reader's data is out of date.
bool has_updates(const feed&, const feed_position& reader);

// The data that the reader lacks. `as_of`: when the store last confirmed this host's data.
feed_page make_page(const feed&, const feed_position& reader, time_point as_of, time_point now);

} // namespace savoryscale::directory
