#pragma once

// Which connections of callers a host closes when it is short of connections or of memory: those
// that hold it without making progress, so that callers which do are still served.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace savoryscale::admission {

struct body_memory;

// What a connection waits for.
enum class holder_phase : std::uint8_t {
    unused,       // the first byte of its first request
    reading_head, // the rest of a head
    idle,         // its next request
    reading_body, // the rest of a body, of which no target has got anything
    sending_body, // the rest of a body that a target is getting
    unread,       // the caller, which has not read its answers
    working,      // a target, or this host's own decision
};

struct holder {
    std::size_t index_ = 0; // the caller's own, to find the connection
    holder_phase phase_ = holder_phase::idle;
    std::size_t bytes_ = 0; // of memory
    time_point progress_at_{};
};

// Indices of up to `count` connections to close for new ones. Never one that works.
std::vector<std::size_t> choose_for_connections(std::span<const holder> holders, std::size_t count,
                                                time_point now);

// Indices of connections to close until memory is free for new requests: first the ones without
// progress that hold the most. Those that make progress are chosen only when all memory is used.
std::vector<std::size_t> choose_for_memory(std::span<const holder> holders,
                                           const body_memory& memory, time_point now);

} // namespace savoryscale::admission
