#pragma once

// The account of all memory that callers make one host hold: heads, bodies of requests and answers,
// requests sent ahead, answers that are not read. It handles many uploads at once, callers that do
// not keep to the limits, and callers or targets that stall in the middle of a body.

#include "base/clock.hpp"

#include <cstddef>

namespace savoryscale::admission {

struct body_memory {
    std::size_t max_ = std::size_t{32} << 20U; // bytes, of all connections together
    std::size_t held_ = 0; // bytes, when last measured, and what is known to have changed since
    time_point measured_at_{};
};

// Whether held_ is too old to decide by.
bool is_measurement_due(const body_memory&, time_point now);
void on_measured(body_memory&, std::size_t held, time_point now);

// Bytes that one body may occupy, out of the `usual` limit: less when the memory is half used, so
// that bodies in progress continue slowly instead of failing.
std::size_t body_limit(const body_memory&, std::size_t usual);

// Whether another request with a body may begin.
bool accepts_body(const body_memory&);

// Whether another request may begin whose head occupies this much.
bool accepts_head(const body_memory&, std::size_t bytes);

// Whether requests of all kinds may begin.
bool is_plentiful(const body_memory&);

// Whether all of it is used, so that what holds most of it must go.
bool is_exhausted(const body_memory&);

// Whether a connection that holds this much gives way when the memory is exhausted.
bool gives_way(const body_memory&, std::size_t bytes);

} // namespace savoryscale::admission
