#include "http/target_search.hpp"

#include "http/grant_search.hpp"
#include "http/http_task.hpp"
#include "http/limit_grants.hpp"
#include "http/service_state.hpp"
#include "peer/grant_wire.hpp"
#include "routing/cold_targets.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

constexpr routing::placement_options options;

// Age of a target's limit at which it is probed again although it gets no grant.
constexpr duration limit_age_max = std::chrono::seconds{1};

routing::grant_wish wish_for(const routing::target_state& target,
                             const routing::request_limit& limit, time_point now)
{
    return {to_string(target.info_.address_), limit.per_second_, now - limit.heard_at_};
}

} // namespace

target_search::target_search(http_task& owner, service_state& service,
                             std::vector<routing::target_index> exclude, bool limited_allowed,
                             std::uint32_t priority, const search_claim& claim, duration time_left,
                             done_function done)
    : http_task_{owner},
      service_{service},
      tried_{exclude},
      exclude_{std::move(exclude)},
      limited_allowed_{limited_allowed},
      priority_{priority},
      claim_{claim},
      done_{std::move(done)},
      started_{owner.loop().now()},
      patience_ends_{started_ + routing::patience(service.probe_times_, time_left)}
{
}

target_search::~target_search()
{
    http_task_.loop().cancel(round_timer_);
    http_task_.loop().cancel(patience_timer_);
}

void target_search::start()
{
    const std::chrono::duration<double, std::nano> mean{service_.view_.mean_latency_ns_};
    routing::on_search_started(service_.placement_budget_,
                               std::chrono::duration<double>{mean}.count());
    deny_ungrantable();
    begin_round();
}

void target_search::begin_round()
{
    const std::size_t count = routing::take_probes(service_.placement_budget_, options.round_size_);
    const auto candidates =
        routing::probe_candidates(service_.view_, exclude_, count, progress_.rounds_ == 0,
                                  http_task_.loop().now(), http_task_.random());
    exclude_.insert(exclude_.end(), candidates.begin(), candidates.end());
    routing::on_round_started(progress_, candidates.size());
    if (candidates.empty()) {
        proceed();
        return;
    }
    http_task_.loop().cancel(round_timer_);
    round_timer_ = http_task_.loop().after(routing::round_time(service_.probe_times_), [this] {
        round_timer_ = 0;
        progress_.round_over_ = true;
        proceed();
    });
    // A probe that cannot be sent fails at once, which may end the search within this loop.
    const std::shared_ptr<target_search> kept_alive = shared_from_this();
    const std::weak_ptr<target_search> self = kept_alive;
    const std::size_t round = progress_.rounds_;
    for (const routing::target_index target : candidates) {
        if (!done_) {
            return;
        }
        http_task_.probe_for_search(service_, target,
                                    [self, target, round](const auto& load, bool usable) {
                                        if (const auto search = self.lock()) {
                                            search->on_probe(round, {target, load}, usable);
                                        }
                                    });
    }
}

// Late answers to probes of an earlier round are used like those of the last round.
void target_search::on_probe(std::size_t round, const routing::probed_target& answered, bool usable)
{
    if (!done_) {
        return;
    }
    const bool excluded =
        limit_of(answered.target_) && (asked_probed_ || is_denied(answered.target_));
    if (usable && !excluded) {
        probed_.push_back(answered);
    }
    routing::on_probe_ended(progress_, round == progress_.rounds_, usable);
    proceed();
}

bool target_search::is_denied(routing::target_index target) const
{
    return std::find(denied_targets_.begin(), denied_targets_.end(), target) !=
           denied_targets_.end();
}

void target_search::deny(routing::target_index target)
{
    if (is_denied(target)) {
        return;
    }
    denied_targets_.push_back(target);
    const auto limit = limit_of(target);
    if (limited_allowed_ && limit && denied_.size() < peer::grant_wishes_max) {
        denied_.push_back(
            wish_for(service_.view_.targets_[target], *limit, http_task_.loop().now()));
    }
}

// The limit that binds the target now; none: it takes what it has room for.
std::optional<routing::request_limit> target_search::limit_of(routing::target_index target) const
{
    return routing::limit_at(service_.view_, service_.view_.targets_[target],
                             http_task_.loop().now());
}

// Denies the targets that no granter has a grant for now, and does not probe them. One whose limit
// was named long ago is probed all the same, as it may have withdrawn the limit.
void target_search::deny_ungrantable()
{
    const auto& targets = service_.view_.targets_;
    std::optional<routing::target_index> longest_unheard;
    time_point heard_at{};
    for (routing::target_index index = 0; index < targets.size(); ++index) {
        const routing::target_state& target = targets[index];
        const auto limit = limit_of(index);
        if (!target.listed_ || target.emptied_ || !limit) {
            continue;
        }
        if (limited_allowed_ &&
            http_task_.grants().may_be_granted(to_string(target.info_.address_))) {
            continue;
        }
        deny(index);
        if (!longest_unheard || limit->heard_at_ < heard_at) {
            longest_unheard = index;
            heard_at = limit->heard_at_;
        }
    }
    const bool may_be_withdrawn = longest_unheard && started_ - heard_at >= limit_age_max;
    for (const routing::target_index denied : denied_targets_) {
        if (!may_be_withdrawn || denied != *longest_unheard) {
            exclude_.push_back(denied);
        }
    }
}

// Probes no more targets that name a limit. One request asks for grants twice at most, as each
// question costs the granters time.
void target_search::exclude_limited()
{
    const auto& targets = service_.view_.targets_;
    for (routing::target_index index = 0; index < targets.size(); ++index) {
        if (limit_of(index)) {
            exclude_.push_back(index);
        }
    }
    std::erase_if(probed_, [&](const routing::probed_target& one) {
        return limit_of(one.target_).has_value();
    });
}

void target_search::proceed()
{
    if (grant_search_ != nullptr) {
        return;
    }
    const time_point now = http_task_.loop().now();
    const auto left = objective_left();
    const auto placed = place();
    const routing::search_findings found{
        routing::has_free_target(service_.view_, probed_, now),
        routing::is_acceptable_when_scarce(service_.placement_budget_, placed, left)};
    switch (routing::next_step(progress_, found, routing::rounds_max(claim_.slot_))) {
    case routing::search_step::wait:
        wait();
        return;
    case routing::search_step::probe_more:
        begin_round();
        return;
    case routing::search_step::end:
        end_or_ask_for_grant(placed);
        return;
    }
}

// A target that names a limit needs a grant. Without any target, one that was not probed may do.
void target_search::end_or_ask_for_grant(const std::optional<routing::placed_attempt>& placed)
{
    const time_point now = http_task_.loop().now();
    if (placed && !limit_of(placed->target_)) {
        finish(placed);
        return;
    }
    if (placed) {
        ask_for_grant(
            routing::place_limited(service_.view_, probed_, options, peer::grant_wishes_max, now));
        return;
    }
    const bool may_ask = limited_allowed_ && !std::exchange(asked_unprobed_, true);
    std::vector<routing::target_index> exclude = tried_;
    exclude.insert(exclude.end(), denied_targets_.begin(), denied_targets_.end());
    if (!may_ask ||
        !ask_for_grant(routing::place_limited_unprobed(
            service_.view_, exclude, peer::grant_wishes_max, now, http_task_.random()))) {
        finish(placed);
    }
}

// Returns whether there was a target to ask for. The search goes on when the answer has come.
bool target_search::ask_for_grant(std::vector<routing::placed_attempt> grantable)
{
    if (grantable.empty()) {
        return false;
    }
    grantable_ = std::move(grantable);
    routing::grant_request request{priority_, {}};
    for (const routing::placed_attempt& each : grantable_) {
        const auto limit = limit_of(each.target_);
        request.wishes_.push_back(wish_for(service_.view_.targets_[each.target_],
                                           limit.value_or(routing::request_limit{}),
                                           http_task_.loop().now()));
    }
    grant_search_ = std::make_unique<grant_search>(
        http_task_.grants(), std::move(request),
        [this](std::optional<std::size_t> granted) { on_grant_decided(granted); });
    grant_search_->start();
    return true;
}

// Without a grant the search goes on among the targets that name no limit.
void target_search::on_grant_decided(std::optional<std::size_t> granted)
{
    const std::shared_ptr<target_search> kept_alive = shared_from_this();
    http_task_.loop().destroy_later(std::move(grant_search_)); // its function is on the stack
    if (granted) {
        const routing::placed_attempt chosen = grantable_[*granted];
        ++service_.view_.targets_[chosen.target_].granted_;
        finish(chosen);
        return;
    }
    for (const routing::placed_attempt& each : grantable_) {
        deny(each.target_);
    }
    asked_probed_ = true;
    exclude_limited();
    proceed();
}

// Waits for probes on their way: until the end of the round, then until the patience is over.
void target_search::wait()
{
    if (!progress_.round_over_ || patience_timer_ != 0) {
        return;
    }
    patience_timer_ = http_task_.loop().at(patience_ends_, [this] {
        patience_timer_ = 0;
        progress_.patience_over_ = true;
        proceed();
    });
}

std::optional<duration> target_search::objective_left() const
{
    return claim_.objective_time_ ? std::optional{*claim_.objective_time_ - http_task_.loop().now()}
                                  : std::nullopt;
}

std::optional<routing::placed_attempt> target_search::place() const
{
    const time_point now = http_task_.loop().now();
    for (const routing::placement_options& each :
         routing::options_for(claim_.slot_, objective_left())) {
        if (const auto placed =
                routing::place(service_.view_, probed_, each, now, http_task_.random())) {
            return placed;
        }
    }
    return std::nullopt;
}

// Tells admission what this search has seen of the room at the targets.
void target_search::note_room()
{
    const duration within =
        claim_.objective_ > duration::zero() ? claim_.objective_ : duration::max();
    const time_point now = http_task_.loop().now();
    admission::on_room_seen(service_.room_, probed_.size(),
                            routing::count_in_time(service_.view_, probed_, within, now), now);
}

// When no probe was answered although this host has heard from targets meanwhile, its link is busy
// rather than cut; then, or when there was no probe left to send, earlier reports decide.
std::optional<routing::placed_attempt> target_search::place_without_answer()
{
    const bool is_link_alive = http_task_.heard_at() > started_ &&
                               routing::is_heard_lately(service_.reach_, http_task_.loop().now());
    if (progress_.answered_ > 0 || (progress_.sent_ > 0 && !is_link_alive)) {
        return std::nullopt;
    }
    exclude_limited();
    return routing::place_unprobed(service_.view_, exclude_, http_task_.loop().now(),
                                   http_task_.random());
}

routing::search_end target_search::reason_without_target() const
{
    const bool silent = progress_.answered_ == 0 && progress_.sent_ > 0;
    return !denied_.empty() && !silent
               ? routing::search_end::limited
               : routing::end_without_target(progress_,
                                             routing::has_eligible_target(service_.view_));
}

// The earliest time at which a slot or a grant is expected.
duration target_search::retry_after(bool silent)
{
    if (silent) {
        return 2 * routing::round_time(service_.probe_times_);
    }
    const duration slot = routing::time_to_free_slot(service_.view_, probed_);
    if (denied_.empty()) {
        return slot;
    }
    const duration grant = http_task_.grants().retry_after(denied_);
    return probed_.empty() ? grant : std::min(slot, grant);
}

void target_search::finish(std::optional<routing::placed_attempt> placed)
{
    if (!done_) {
        return;
    }
    search_result result;
    if (placed) {
        result.end_ = routing::search_end::found;
    }
    else if (placed = place_without_answer(); placed) {
        result.end_ = routing::search_end::believed;
    }
    else {
        result.end_ = reason_without_target();
    }
    const bool silent = progress_.answered_ == 0 && progress_.sent_ > 0;
    if (silent) {
        routing::on_silent_search(service_.probe_times_);
    }
    if (result.end_ == routing::search_end::no_answer && tried_.empty()) {
        http_task_.on_targets_silent(service_);
    }
    result.placed_ = placed;
    routing::on_search_ended(service_.placement_budget_, probed_,
                             routing::own_in_flight(service_.view_), result.placed_.has_value());
    note_room();
    http_task_.limit_extra_attempts(service_);
    result.retry_after_ = retry_after(silent);
    result.probes_ = progress_.sent_;
    result.answers_ = progress_.answered_;
    result.probed_ = probed_;
    std::exchange(done_, {})(result);
}

} // namespace savoryscale::http
