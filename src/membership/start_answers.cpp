#include "membership/start_answers.hpp"

namespace savoryscale::membership {

start_answers make_start_answers(time_point now)
{
    return {now, now, {}};
}

bool on_peer_state(start_answers& answers, const peer::fact& host_fact,
                   const peer::host_state& state, time_point now)
{
    if (state.ready_ || state.leaving_) {
        answers.starting_peers_.erase(host_fact.subject_);
        return false;
    }
    const std::uint64_t start = host_fact.version_ >> peer::host_counter_bits;
    const auto known = answers.starting_peers_.find(host_fact.subject_);
    if (known != answers.starting_peers_.end() && known->second == start) {
        return false;
    }
    answers.starting_peers_[host_fact.subject_] = start;
    if (now - answers.started_ >= invalidation_window) {
        return false;
    }
    answers.valid_from_ = now;
    return true;
}

} // namespace savoryscale::membership
