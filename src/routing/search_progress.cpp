#include "routing/search_progress.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace savoryscale::routing {

namespace {

using namespace std::chrono_literals;

// Weights and factor of RFC 6298.
constexpr double mean_weight = 0.125;
constexpr double deviation_weight = 0.25;
constexpr double deviation_factor = 4;

constexpr duration round_time_min = 12ms; // covers targets in remote data centres
constexpr duration round_time_max = 100ms;

// A search waits for a first answer at most this long, and at most this fraction of the request's
// time: a caller that is refused needs the rest of it for another host.
constexpr duration patience_max = 240ms;
constexpr double patience_fraction = 1.0 / 3;

// Rounds sent while no target has answered. The second one covers the case that all targets of the
// first are down.
constexpr std::size_t silent_rounds_max = 2;

} // namespace

void on_probe_answered(probe_times& times, time_point sent_at, time_point now)
{
    const auto taken = static_cast<double>((now - sent_at).count());
    if (times.mean_ns_ <= 0) {
        times.mean_ns_ = taken;
        times.deviation_ns_ = taken / 2;
    }
    else {
        times.deviation_ns_ +=
            deviation_weight * (std::abs(taken - times.mean_ns_) - times.deviation_ns_);
        times.mean_ns_ += mean_weight * (taken - times.mean_ns_);
    }
    times.answered_sent_at_ = std::max(times.answered_sent_at_, sent_at);
    times.answered_since_silence_ = true;
}

void on_silent_search(probe_times& times)
{
    times.answered_since_silence_ = false;
}

duration round_time(const probe_times& times)
{
    const double usual = times.mean_ns_ + deviation_factor * times.deviation_ns_;
    return std::clamp(duration{static_cast<std::int64_t>(usual)}, round_time_min, round_time_max);
}

duration patience(const probe_times& times, duration left)
{
    if (!times.answered_since_silence_) {
        return std::min(static_cast<std::int64_t>(silent_rounds_max) * round_time(times), left);
    }
    const auto fraction = static_cast<double>(left.count()) * patience_fraction;
    return std::min(patience_max, duration{static_cast<std::int64_t>(fraction)});
}

bool is_silence_of_target(const probe_times& times, time_point sent_at)
{
    return times.answered_sent_at_ >= sent_at;
}

void on_round_started(search_progress& progress, std::size_t probes)
{
    ++progress.rounds_;
    progress.sent_ += probes;
    progress.pending_ += probes;
    progress.round_pending_ = probes;
    progress.round_over_ = probes == 0;
    progress.out_of_probes_ = probes == 0;
}

void on_probe_ended(search_progress& progress, bool of_last_round, bool usable)
{
    --progress.pending_;
    if (of_last_round) {
        --progress.round_pending_;
    }
    if (usable) {
        ++progress.answered_;
    }
}

search_step next_step(const search_progress& progress, const search_findings& found,
                      std::size_t rounds_max)
{
    if (found.free_target_) {
        return search_step::end;
    }
    if (progress.round_pending_ > 0 && !progress.round_over_) {
        return search_step::wait;
    }
    if (found.acceptable_) {
        return search_step::end;
    }
    const bool silent = progress.answered_ == 0 && progress.pending_ > 0;
    const std::size_t rounds = silent ? std::min(rounds_max, silent_rounds_max) : rounds_max;
    if (progress.rounds_ < rounds && !progress.out_of_probes_) {
        return search_step::probe_more;
    }
    return silent && !progress.patience_over_ ? search_step::wait : search_step::end;
}

search_end end_without_target(const search_progress& progress, bool has_targets)
{
    if (progress.answered_ > 0) {
        return search_end::all_full;
    }
    if (progress.sent_ > 0) {
        return search_end::no_answer;
    }
    return has_targets ? search_end::no_probes : search_end::no_targets;
}

const char* to_string(search_end end)
{
    switch (end) {
    case search_end::found:
        return "found";
    case search_end::believed:
        return "believed";
    case search_end::all_full:
        return "all_full";
    case search_end::no_answer:
        return "no_answer";
    case search_end::no_probes:
        return "no_probes";
    case search_end::no_targets:
        return "no_targets";
    case search_end::limited:
        return "limited";
    }
    return "unknown";
}

} // namespace savoryscale::routing
