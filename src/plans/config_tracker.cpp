#include "plans/config_tracker.hpp"

#include "store/object_api.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::plans {

namespace {

using store::call_status;

// The backoff stops growing after this many doublings.
constexpr std::uint32_t max_backoff_doublings = 16;

duration backoff(const config_tracker& state, random_source& random)
{
    const config_tracker_options& options = state.options_;
    const auto doublings = std::min(state.failures_, max_backoff_doublings);
    const duration ceiling =
        std::min(options.backoff_max_, options.backoff_min_ * (std::int64_t{1} << doublings));
    const auto spread = static_cast<std::uint64_t>((ceiling - options.backoff_min_).count());
    return options.backoff_min_ +
           duration{static_cast<std::int64_t>(uniform_below(random, spread + 1))};
}

// Adopts the configuration if it is newer than the one held. Returns whether it was adopted.
bool adopt_if_newer(config_tracker& state, std::string_view text)
{
    if (state.in_force_ && text == state.text_) {
        return false;
    }
    auto parsed = parse_configuration(text, configuration_key);
    if (!parsed) {
        ++state.counters_.invalid_refused_;
        return false;
    }
    const std::uint64_t offered = parsed->lists_.version_;
    if (offered < held_version(state)) {
        ++state.counters_.older_ignored_;
        return false;
    }
    if (state.in_force_ && offered == held_version(state)) {
        if (*parsed != *state.in_force_) {
            ++state.counters_.diverged_refused_;
        }
        return false;
    }
    state.text_ = print(*parsed);
    state.in_force_ = std::move(*parsed);
    ++state.counters_.adopted_;
    return true;
}

config_tracker_action start_read(config_tracker& state, time_point now)
{
    state.next_read_.reset();
    state.call_ = config_tracker_call::read;
    state.call_started_ = now;
    return {config_tracker_action_kind::read_store, 0, state.options_.read_timeout_};
}

config_tracker_action start_watch(config_tracker& state, time_point now)
{
    state.next_read_.reset();
    state.call_ = config_tracker_call::watch;
    state.call_started_ = now;
    return {config_tracker_action_kind::watch_store, state.store_version_,
            state.options_.watch_timeout_};
}

bool is_answer(call_status status)
{
    return status == call_status::ok || status == call_status::not_found;
}

// Schedules the next read after a call without a usable reply.
void schedule_retry(config_tracker& state, config_tracker_call failed, time_point now,
                    random_source& random)
{
    if (!state.is_watcher_ && state.ready_) {
        return;
    }
    // A watch that timed out does not show that the object API is down: read at once, then back
    // off.
    const bool read_at_once = failed == config_tracker_call::watch && state.failures_ == 1;
    state.next_read_ = read_at_once ? now : now + backoff(state, random);
}

} // namespace

config_tracker make_config_tracker(const config_tracker_options& options, time_point now,
                                   random_source& random)
{
    config_tracker state;
    state.options_ = options;
    state.started_ = now;
    state.peer_answers_since_ = now;
    const auto spread = static_cast<std::uint64_t>(options.start_jitter_.count());
    state.next_read_ = now + duration{static_cast<std::int64_t>(uniform_below(random, spread + 1))};
    return state;
}

std::uint64_t held_version(const config_tracker& state)
{
    return state.in_force_ ? state.in_force_->lists_.version_ : 0;
}

config_tracker_actions on_timer(config_tracker& state, time_point now)
{
    if (state.call_ != config_tracker_call::none || !state.next_read_ || now < *state.next_read_) {
        return {};
    }
    return {start_read(state, now)};
}

config_tracker_actions on_store_reply(config_tracker& state, const store::object_reply& reply,
                                      time_point now, random_source& random)
{
    const config_tracker_call call = std::exchange(state.call_, config_tracker_call::none);
    config_tracker_actions actions;
    bool is_newer = false;
    if (reply.status_ == call_status::ok && !reply.objects_.empty()) {
        const store::object& stored = reply.objects_.front();
        is_newer = stored.version_ > state.store_version_;
        state.store_version_ = std::max(state.store_version_, stored.version_);
        if (adopt_if_newer(state, stored.value_)) {
            actions.push_back({config_tracker_action_kind::adopted, 0, {}});
        }
    }
    // A watch that returns early without a change is treated as a failure, so that it is repeated
    // with backoff and not in a busy loop.
    const bool idle_watch = call == config_tracker_call::watch && !is_newer &&
                            now - state.call_started_ < state.options_.watch_timeout_ / 2;
    if (!is_answer(reply.status_) || idle_watch) {
        ++state.counters_.store_failures_;
        ++state.failures_;
        schedule_retry(state, call, now, random);
        return actions;
    }
    state.failures_ = 0;
    state.store_answered_ = true;
    if (state.is_watcher_) {
        actions.push_back(start_watch(state, now));
    }
    return actions;
}

config_tracker_actions on_peer_configuration(config_tracker& state, std::string_view text)
{
    if (!adopt_if_newer(state, text)) {
        return {};
    }
    return {{config_tracker_action_kind::adopted, 0, {}}};
}

void on_peers_answered(config_tracker& state, peers_answered answered)
{
    state.peers_ = answered;
}

void on_answers_discarded(config_tracker& state, time_point now)
{
    state.peers_ = peers_answered::none;
    state.peer_answers_since_ = now;
}

config_tracker_actions set_watcher(config_tracker& state, bool watcher, time_point now)
{
    if (watcher == std::exchange(state.is_watcher_, watcher)) {
        return {};
    }
    if (!watcher || state.call_ != config_tracker_call::none) {
        return {};
    }
    // The object may have changed since the last read.
    return {start_read(state, now)};
}

bool is_ready(config_tracker& state, time_point now)
{
    if (state.ready_ || !state.in_force_) {
        return state.ready_;
    }
    const duration waited = now - state.started_;
    const bool all_peers = state.peers_ == peers_answered::all;
    const bool store_and_grace =
        state.store_answered_ && now - state.peer_answers_since_ >= state.options_.peer_grace_;
    const bool peers_and_grace =
        state.peers_ == peers_answered::some && waited >= state.options_.store_grace_;
    state.ready_ = all_peers || store_and_grace || peers_and_grace;
    return state.ready_;
}

std::optional<time_point> next_wake(const config_tracker& state)
{
    return state.call_ == config_tracker_call::none ? state.next_read_ : std::nullopt;
}

} // namespace savoryscale::plans
