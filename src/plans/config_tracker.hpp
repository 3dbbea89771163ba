#pragma once

// Tracks the newest configuration that an entry host has received. The host's control task passes
// in events (replies of the object API, facts from peers, the time) and performs the returned
// actions.
//
// The version held never decreases. Content that does not parse is rejected completely and counted;
// the configuration held is kept. For when a host becomes ready, see is_ready.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "plans/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::store {
struct object_reply;
} // namespace savoryscale::store

namespace savoryscale::plans {

struct config_tracker_options {
    duration read_timeout_ = std::chrono::seconds{1};
    duration watch_timeout_ = std::chrono::seconds{4}; // also bounds detection of a broken watch
    duration start_jitter_ = std::chrono::milliseconds{500}; // maximum delay of the first read
    duration peer_grace_ = std::chrono::seconds{2};  // wait for the remaining peers after a read
    duration store_grace_ = std::chrono::seconds{5}; // wait for the object API if peers answered
    duration backoff_min_ = std::chrono::milliseconds{200};
    duration backoff_max_ = std::chrono::seconds{5};
};

// How many peers have reported the version they hold. When a peer reports that it is starting,
// earlier reports of the others are discarded and they are asked again: they may meanwhile hold a
// newer version received from that peer before it restarted (spec/configuration.pml, variant
// KEEP_OLD_ANSWERS).
enum class peers_answered : std::uint8_t {
    none,
    some,
    all, // every peer in the host list and the settings, even if there are none
};

// Counters since the start.
struct config_tracker_counters {
    std::uint64_t adopted_ = 0;          // newer versions adopted
    std::uint64_t older_ignored_ = 0;    // versions older than the one held
    std::uint64_t invalid_refused_ = 0;  // content that does not parse
    std::uint64_t diverged_refused_ = 0; // same version as the one held, but different content
    std::uint64_t store_failures_ = 0;   // calls without a usable reply
};

enum class config_tracker_action_kind : std::uint8_t {
    read_store,  // get plans::configuration_key; pass the reply to on_store_reply
    watch_store, // watch it above above_version_; pass the reply to on_store_reply
    adopted,     // in_force_ changed: pass it to admission and send text_ to the peers
};

struct config_tracker_action {
    config_tracker_action_kind kind_ = config_tracker_action_kind::read_store;
    std::uint64_t above_version_ = 0; // watch_store: version of the object
    duration timeout_{};

    friend bool operator==(const config_tracker_action&, const config_tracker_action&) = default;
};

using config_tracker_actions = std::vector<config_tracker_action>;

// The call to the object API in progress.
enum class config_tracker_call : std::uint8_t { none, read, watch };

// Callers may read in_force_, text_ and counters_; the other members are internal.
struct config_tracker {
    config_tracker_options options_;
    std::optional<configuration> in_force_;
    std::string text_; // canonical text of in_force_, the payload of a configuration fact
    config_tracker_counters counters_;

    bool is_watcher_ = false; // one of the few hosts that watch the object API
    config_tracker_call call_ = config_tracker_call::none;
    time_point call_started_{};
    std::optional<time_point> next_read_;
    std::uint64_t store_version_ = 0; // highest version of the object seen
    std::uint32_t failures_ = 0;      // consecutive
    bool store_answered_ = false;     // since the start
    peers_answered peers_ = peers_answered::none;
    time_point started_{};
    time_point peer_answers_since_{}; // peer_grace_ is measured from here
    bool ready_ = false;
};

// Creates the state at `now`. The first read of the object API follows within start_jitter_.
config_tracker make_config_tracker(const config_tracker_options& options, time_point now,
                                   random_source& random);

// Version of the configuration held; 0 when none.
std::uint64_t held_version(const config_tracker& state);

// Runs what is due. Call it at next_wake or more often.
config_tracker_actions on_timer(config_tracker& state, time_point now);

// Handles the reply to the call in progress.
config_tracker_actions on_store_reply(config_tracker& state, const store::object_reply& reply,
                                      time_point now, random_source& random);

// Handles a configuration fact from a peer. `text` is canonical text.
config_tracker_actions on_peer_configuration(config_tracker& state, std::string_view text);

// Sets how many peers have answered since the start. Call it when this changes.
void on_peers_answered(config_tracker& state, peers_answered answered);

// Discards all reports from peers up to `now` and restarts peer_grace_. No effect once ready.
void on_answers_discarded(config_tracker& state, time_point now);

// Sets whether this host watches the object API, which it does while it holds a watcher's lease.
config_tracker_actions set_watcher(config_tracker& state, bool watcher, time_point now);

// Whether the host may serve. It must hold lists, and one of these must be true: all peers have
// answered; the object API has answered a read and peer_grace_ has passed; some peers have answered
// and store_grace_ has passed. A ready host stays ready: without any source it serves what it
// holds.
bool is_ready(config_tracker& state, time_point now);

// When on_timer is next due; none while waiting for an event.
std::optional<time_point> next_wake(const config_tracker& state);

} // namespace savoryscale::plans
