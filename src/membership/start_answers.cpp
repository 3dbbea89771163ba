#include "membership/start_answers.hpp"

namespace savoryscale::membership {

start_answers make_start_answers(time_point now)
{
    return {now, now, {}};
}

bool on_peer_word(start_answers& answers, const peer::fact& word, const peer::host_state& state,
                  time_point now)
{
    if (state.ready_ || state.leaving_) {
        answers.starting_.erase(word.subject_);
        return false;
    }
    const std::uint64_t start = word.version_ >> peer::host_counter_bits;
    const auto known = answers.starting_.find(word.subject_);
    if (known != answers.starting_.end() && known->second == start) {
        return false;
    }
    answers.starting_[word.subject_] = start;
    if (now - answers.started_ >= void_limit) {
        return false;
    }
    answers.valid_from_ = now;
    return true;
}

} // namespace savoryscale::membership
