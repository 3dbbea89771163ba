#pragma once

// Decides how a search for a target goes on: whether to wait for probes on their way, to probe more
// targets, or to end. It handles a host whose own link or processor is busy, so that probes take
// far longer than usual while the targets are free.
//
// Probes are sent in rounds. A round lasts as long as probes usually take on this host. While no
// target has answered, silence says more about this host than about the targets: the search then
// waits within the request's time instead of spending more probes.

#include "base/clock.hpp"

#include <cstddef>

namespace savoryscale::routing {

// How long answers to probes take on this host: smoothed mean and mean deviation, as for TCP's
// retransmission timer (RFC 6298).
struct probe_times {
    double mean_ns_ = 0; // zero: no answer yet
    double deviation_ns_ = 0;
    time_point answered_sent_at_{};      // when the latest of the answered probes was sent
    bool answered_since_silence_ = true; // since the last search without any answer
};
void on_probe_answered(probe_times&, time_point sent_at, time_point now);

// A search has waited for its probes in vain. Until a probe is answered, searches end sooner.
void on_silent_search(probe_times&);

// How long a round waits for its probes.
duration round_time(const probe_times&);

// How long a search may wait for a first answer. `left`: until the request's deadline.
duration patience(const probe_times&, duration left);

// Whether a probe without an answer speaks against its target: one sent no earlier was answered, so
// this host's link does not explain the silence.
bool is_silence_of_target(const probe_times&, time_point sent_at);

struct search_progress {
    std::size_t rounds_ = 0;        // begun
    std::size_t pending_ = 0;       // unanswered probes of all rounds
    std::size_t round_pending_ = 0; // unanswered probes of the last round
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;   // by targets that can take requests
    bool round_over_ = true;     // the time of the last round is over
    bool patience_over_ = false; // no time left to wait for a first answer
    bool out_of_probes_ = false; // no target or no probe was left for another round
};
void on_round_started(search_progress&, std::size_t probes);

// `of_last_round`: whether the probe belongs to the round that was begun last.
void on_probe_ended(search_progress&, bool of_last_round, bool usable);

// What is known of the targets that have answered.
struct search_findings {
    bool free_target_ = false; // one is free and not slowed
    bool acceptable_ = false;  // one is good enough while probes are scarce
};

enum class search_step { wait, probe_more, end };
search_step next_step(const search_progress&, const search_findings&, std::size_t rounds_max);

// Why a search has ended. The first two have a target.
enum class search_end {
    found,
    believed,   // no probe answered; chosen by earlier load reports
    all_full,   // all targets that answered
    no_answer,  // probes were sent, and none answered in time
    no_probes,  // the budget of probes is spent
    no_targets, // none that may take a request
    limited,    // by the limits that targets name; the others are full
};
search_end end_without_target(const search_progress&, bool has_targets);
const char* to_string(search_end);

} // namespace savoryscale::routing
