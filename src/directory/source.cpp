#include "directory/source.hpp"

#include <algorithm>
#include <array>

namespace savoryscale::directory {

namespace {

// Whether data confirmed at this time is recent enough. Before the first response, whether the host
// is still within the patience after its start.
bool is_fresh(const source_state& state, const std::optional<time_point>& moment, time_point now)
{
    return moment ? now - *moment < state.options_.age_max_
                  : now - state.started_ < state.options_.patience_;
}

} // namespace

bool is_serving_peers(const source_state& state, time_point now)
{
    return state.is_configured_source_ ||
           (state.last_peer_request_ &&
            now - *state.last_peer_request_ < state.options_.serving_period_);
}

bool is_store_needed(const source_state& state, time_point now)
{
    return !state.has_peers_ || is_serving_peers(state, now) ||
           !is_fresh(state, state.peer_as_of_, now);
}

bool is_peer_needed(const source_state& state, time_point now)
{
    return state.has_peers_ &&
           !(is_serving_peers(state, now) && is_fresh(state, state.store_as_of_, now));
}

std::optional<time_point> as_of(const source_state& state)
{
    if (!state.store_as_of_ || !state.peer_as_of_) {
        return state.store_as_of_ ? state.store_as_of_ : state.peer_as_of_;
    }
    return std::max(*state.store_as_of_, *state.peer_as_of_);
}

std::optional<time_point> next_source_check(const source_state& state, time_point now)
{
    const source_options& options = state.options_;
    const auto until = [&](const std::optional<time_point>& moment) {
        return moment ? *moment + options.age_max_ : state.started_ + options.patience_;
    };
    std::array<time_point, 3> moments{
        until(state.store_as_of_), until(state.peer_as_of_),
        state.last_peer_request_.value_or(now - options.serving_period_) + options.serving_period_};
    std::optional<time_point> next;
    for (const time_point moment : moments) {
        if (moment > now) {
            next = std::min(next.value_or(moment), moment);
        }
    }
    return next;
}

} // namespace savoryscale::directory
