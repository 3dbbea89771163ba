#pragma once

// Decides whether a host gets directory data from the store or from a peer. A few hosts, which the
// settings of every host list, query the store. The others query those hosts, and query the store
// only when their data is too old. A host that serves peers keeps querying the store, so that hosts
// never merely pass the same data around in a circle.

#include "base/clock.hpp"

#include <chrono>
#include <optional>

namespace savoryscale::directory {

struct source_options {
    duration age_max_ = std::chrono::milliseconds{1200}; // of data that a host may rely on
    duration patience_ = std::chrono::milliseconds{30}; // at the start, for the first peer response
    duration serving_period_ = std::chrono::milliseconds{4000}; // after a peer's request
};

struct source_state {
    source_options options_;
    bool has_peers_ = false;
    bool is_configured_source_ = false; // listed in settings as a host to query
    time_point started_{};
    std::optional<time_point> store_as_of_; // time of the data from the store
    std::optional<time_point> peer_as_of_;  // time of the data from the peer
    std::optional<time_point> last_peer_request_;
};

// Whether peers rely on this host.
bool is_serving_peers(const source_state&, time_point now);

// Whether to query the store or a peer now. Both are needed while the preferred one has no recent
// data.
bool is_store_needed(const source_state&, time_point now);
bool is_peer_needed(const source_state&, time_point now);

// When the store last confirmed this host's data; none before the first time.
std::optional<time_point> as_of(const source_state&);

// When the results above may next change without an event.
std::optional<time_point> next_source_check(const source_state&, time_point now);

} // namespace savoryscale::directory
