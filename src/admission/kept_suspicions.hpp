#pragma once

// Which suspicions a host writes to the store, where they outlast all hosts, and reach hosts that
// no host of the feed answers. Nothing is written while no request crashes targets.

#include "admission/quarantine.hpp"
#include "base/clock.hpp"
#include "base/random.hpp"
#include "peer/fact.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace savoryscale::admission {

// A host of the feed writes what concerns all hosts. A lone host, which none of them answers,
// writes each crash that it saw. The others leave it to the hosts of the feed.
enum class keeper_role : std::uint8_t { none, lone, feed };

struct kept_suspicion {
    peer::fact fact_; // as this host knows it
    time_point expires_at_{};
    std::uint64_t stored_version_ = 0;  // of the store's object, as far as known; 0: none in force
    std::uint64_t stored_revision_ = 0; // at which that object was read; 0: not known, or no object
    bool raised_here_ = false;          // this host saw a crash of it
};

struct kept_suspicions {
    std::map<fingerprint, kept_suspicion> entries_; // at most kept_suspicions_max
    std::optional<fingerprint> writing_;
    std::uint64_t writing_version_ = 0;
    time_point next_at_{}; // no write before this time
    std::uint32_t failures_ = 0;
};

inline constexpr std::size_t kept_suspicions_max = 256;

// Between two writes of a host: the hosts together must leave the store room for its other writers.
inline constexpr std::chrono::milliseconds kept_write_interval{1000};

// After this many failures in a row writes are tried seldom, until the store is regained.
inline constexpr std::uint32_t kept_tries_max = 5;

// A suspicion is new or has changed. `raised_here`: not because another host or the store told it.
void on_suspicion_changed(kept_suspicions&, const peer::fact&, bool raised_here, time_point now);

// The store's object of this revision has this version. Version 0: it cannot be read or its time is
// over; both 0: it was removed.
void on_kept_read(kept_suspicions&, fingerprint, std::uint64_t version, std::uint64_t revision);

// Nothing is known of the store's objects any more: it has come back from an older copy, or its
// complete list is about to be read.
void forget_stored(kept_suspicions&);

// What to write now; none while a write is in flight, before next_at_, or when nothing is due.
const kept_suspicion* next_write(kept_suspicions&, keeper_role, time_point now);

// The call that a write takes next. An object is replaced at the revision at which it was read
// only, so that crashes that this host has not heard of stay in it.
enum class write_call : std::uint8_t { create, read, replace };
write_call call_for(const kept_suspicion&);

// `read`: its object was read, and is to be replaced now. `conflict`: another host has created or
// replaced it. `gone`: it was to be read or replaced and has been removed.
enum class write_end : std::uint8_t { written, read, conflict, gone, failed };
void on_write_ended(kept_suspicions&, write_end, time_point now, random_source&);

// The store answers again after an outage, or has come back from an older copy: what is due is
// written soon, at a moment that differs from host to host.
void on_store_regained(kept_suspicions&, time_point now, random_source&);

// When to call next_write again; none while a write is in flight or nothing is to be written.
std::optional<time_point> next_write_at(const kept_suspicions&, keeper_role, time_point now);

} // namespace savoryscale::admission
