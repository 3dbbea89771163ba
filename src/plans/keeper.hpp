#pragma once

// Decides what configuration an entry host holds. The host's control task feeds it events (answers
// of the object API, facts from peers, the time) and carries out the actions it returns.
//
// The version held never falls. Content that does not parse is refused whole and counted; what was
// held stays. A host is ready once it holds lists and has asked its sources: see is_ready.

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

struct keeper_options {
    duration read_timeout_ = std::chrono::seconds{1};
    duration watch_timeout_ = std::chrono::seconds{4}; // also bounds how long a silent watch hides
    duration start_jitter_ = std::chrono::milliseconds{500}; // first read is spread over this
    duration peer_grace_ = std::chrono::seconds{2};  // wait for the rest of the peers after a read
    duration store_grace_ = std::chrono::seconds{5}; // wait for the object API when peers answered
    duration backoff_min_ = std::chrono::milliseconds{200};
    duration backoff_max_ = std::chrono::seconds{5};
};

// How far the peers have told what they hold. When a peer tells that it is itself starting, what
// the others told before is void, and they are to be asked again: they may hold more by now,
// learned from that peer before it forgot (spec/configuration.pml, variant KEEP_OLD_ANSWERS).
enum class peers_heard : std::uint8_t {
    none,
    some,
    all, // every peer that the host list and the settings name, also when they name none
};

// Counters since the start.
struct keeper_counters {
    std::uint64_t adopted_ = 0;          // moves to a newer version
    std::uint64_t older_ignored_ = 0;    // offers below the version held
    std::uint64_t invalid_refused_ = 0;  // offers that do not parse
    std::uint64_t diverged_refused_ = 0; // offers of the version held with other content
    std::uint64_t store_failures_ = 0;   // calls without a usable answer
};

enum class keeper_action_kind : std::uint8_t {
    read_store,  // get plans::configuration_key; pass the answer to on_store_reply
    watch_store, // watch it above above_version_; pass the answer to on_store_reply
    adopted,     // keeper.in_force_ changed: hand it to admission and tell the peers keeper.text_
};

struct keeper_action {
    keeper_action_kind kind_ = keeper_action_kind::read_store;
    std::uint64_t above_version_ = 0; // watch_store: version of the object
    duration timeout_{};

    friend bool operator==(const keeper_action&, const keeper_action&) = default;
};

using keeper_actions = std::vector<keeper_action>;

// What the keeper waits for from the object API.
enum class keeper_call : std::uint8_t { none, read, watch };

// State of the keeper. Read in_force_, text_ and counters_; the rest is its own.
struct keeper {
    keeper_options options_;
    std::optional<configuration> in_force_;
    std::string text_; // canonical text of in_force_, the payload of a configuration fact
    keeper_counters counters_;

    bool watcher_ = false; // one of the few hosts that keep asking the object API
    keeper_call call_ = keeper_call::none;
    time_point call_started_{};
    std::optional<time_point> next_read_;
    std::uint64_t store_version_ = 0; // newest version of the object seen
    std::uint32_t failures_ = 0;      // in a row
    bool store_answered_ = false;     // since the start
    peers_heard peers_ = peers_heard::none;
    time_point started_{};
    time_point asked_from_{}; // the peers' answers count from here
    bool ready_ = false;
};

// A keeper that starts at `now` and reads the object API within start_jitter_.
keeper make_keeper(const keeper_options& options, time_point now, random_source& random);

// Version held; 0 when none.
std::uint64_t held_version(const keeper& state);

// Runs what is due: call at next_wake, or more often.
keeper_actions on_timer(keeper& state, time_point now);

// The answer to the call in progress.
keeper_actions on_store_reply(keeper& state, const store::object_reply& reply, time_point now,
                              random_source& random);

// A peer's configuration fact: canonical text.
keeper_actions on_peer_configuration(keeper& state, std::string_view text);

// How far peers have answered since the start; call when it changes.
void on_peers_heard(keeper& state, peers_heard heard);

// What the peers told until `now` is void; they have peer_grace_ anew. Nothing once ready.
void on_answers_void(keeper& state, time_point now);

// Whether this host is to watch the object API (it holds a watcher's lease) from now on.
keeper_actions set_watcher(keeper& state, bool watcher, time_point now);

// Whether the host may serve. It must hold lists; and either the object API answered a read and the
// peers answered or had peer_grace_ to; or all peers answered; or some did, and the object API had
// store_grace_ to. Once ready, a host stays so: cut from every source it serves what it holds.
bool is_ready(keeper& state, time_point now);

// When on_timer has something to do next; none when it waits for an event.
std::optional<time_point> next_wake(const keeper& state);

} // namespace savoryscale::plans
