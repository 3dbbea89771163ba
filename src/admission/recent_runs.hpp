#pragma once

// Requests that targets have completed a short while ago, at this host. Such a run speaks against a
// suspicion that arrives just after it: harmless content that many callers send is in flight at
// many crashes, and would be refused until one of its runs that is still in flight completes.

#include "admission/quarantine.hpp"
#include "base/clock.hpp"

#include <cstddef>
#include <vector>

namespace savoryscale::admission {

// Short, since content that was harmless may begin to crash targets.
inline constexpr std::chrono::seconds recent_run_lifetime{2};

// Each request has one slot, which the latest of the requests that share it keeps.
inline constexpr std::size_t recent_run_slots = 1024;

struct recent_run {
    fingerprint request_ = 0;
    time_point completed_at_{};
};

struct recent_runs {
    std::vector<recent_run> slots_ = std::vector<recent_run>(recent_run_slots);
};

void on_run_completed(recent_runs&, fingerprint, time_point now);

[[nodiscard]] bool has_completed_recently(const recent_runs&, fingerprint, time_point now);

// Call when a suspicion is new or has changed. Returns whether a recent run has cleared it; tell
// the other hosts then, which have had no suspicion to clear by their own runs.
bool clear_if_run_recently(quarantine&, const recent_runs&, fingerprint, time_point now);

} // namespace savoryscale::admission
