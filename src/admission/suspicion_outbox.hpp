#pragma once

// The suspicions that one other host has yet to receive from this one. Bounded in number and rate,
// since many targets can crash for reasons of their own at once.

#include "admission/quarantine.hpp"
#include "base/clock.hpp"
#include "base/random.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace savoryscale::admission {

inline constexpr std::size_t outbox_max = 256;
inline constexpr std::size_t outbox_batch_max = 8;
inline constexpr std::chrono::milliseconds outbox_interval{20}; // between two batches

struct suspicion_outbox {
    std::set<fingerprint> waiting_;
    std::vector<fingerprint> sending_; // the batch in flight
    time_point next_at_{};             // no batch before this time
    std::uint32_t failures_ = 0;       // in a row
};

// Adds a new or changed suspicion; when the outbox is full, it is dropped.
void add(suspicion_outbox&, fingerprint);

// Takes the next batch; empty while one is in flight, before `next_at_`, or when nothing waits.
const std::vector<fingerprint>& take_batch(suspicion_outbox&, time_point now);

// The batch was received, or not: then it waits again.
void on_batch_ended(suspicion_outbox&, bool received, time_point now, random_source& random);

// When to call take_batch again; none while a batch is in flight or nothing waits.
std::optional<time_point> next_batch_at(const suspicion_outbox&);

} // namespace savoryscale::admission
