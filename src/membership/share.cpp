#include "membership/share.hpp"

#include <algorithm>

namespace savoryscale::membership {

namespace {

std::uint64_t base_of(const share& state)
{
    return state.settings_.total_ / std::max(state.settings_.hosts_max_, 1U);
}

std::uint64_t givable_base(const share& state)
{
    return base_of(state) / 2;
}

// Whether grants of an earlier life of this host have ended for certain.
bool is_settled(const share& state, time_point now)
{
    return now - state.started_ >= state.settings_.term_;
}

template<class Grant>
std::uint64_t amount_in_force(const std::vector<Grant>& grants, time_point now)
{
    std::uint64_t amount = 0;
    for (const Grant& each : grants) {
        amount += each.until_ > now ? each.amount_ : 0;
    }
    return amount;
}

template<class Grant>
void forget_ended(std::vector<Grant>& grants, time_point now)
{
    std::erase_if(grants, [&](const Grant& each) { return each.until_ <= now; });
}

// What may be granted now: unused here, and not of what peers have granted.
std::uint64_t spare(const share& state, time_point now)
{
    if (!state.wanted_ || !is_settled(state, now)) {
        return 0;
    }
    const std::uint64_t left = givable_base(state) - amount_in_force(state.given_, now);
    const std::uint64_t may_use = usable(state, now);
    const std::uint64_t unused = may_use - std::min(may_use, *state.wanted_);
    return std::min(left, unused);
}

} // namespace

share make_share(share_settings settings, std::uint64_t first_nonce, time_point now)
{
    share state;
    state.settings_ = std::move(settings);
    state.started_ = now;
    state.next_nonce_ = first_nonce;
    state.next_ask_ = now;
    return state;
}

std::uint64_t usable(const share& state, time_point now)
{
    const std::uint64_t kept = base_of(state) - givable_base(state);
    const std::uint64_t not_given =
        is_settled(state, now) ? givable_base(state) - amount_in_force(state.given_, now) : 0;
    return kept + not_given + amount_in_force(state.taken_, now);
}

time_point next_change(const share& state, time_point now)
{
    time_point next = time_point::max();
    const auto consider = [&](time_point at) {
        if (at > now) {
            next = std::min(next, at);
        }
    };
    consider(state.started_ + state.settings_.term_);
    for (const given_grant& each : state.given_) {
        consider(each.until_);
    }
    for (const taken_grant& each : state.taken_) {
        consider(each.until_);
    }
    return next;
}

std::optional<peer::share_message> ask(share& state, time_point now)
{
    forget_ended(state.given_, now);
    forget_ended(state.taken_, now);
    const std::uint64_t may_use = usable(state, now);
    if (!state.wanted_ || *state.wanted_ <= may_use || now < state.next_ask_) {
        return {};
    }
    state.ask_ = {state.next_nonce_++, now};
    // An answer after this is not waited for: another peer is asked.
    state.next_ask_ = now + state.settings_.term_ / 10;
    return peer::share_message{state.settings_.resource_, state.ask_->nonce_,
                               *state.wanted_ - may_use};
}

std::optional<peer::share_message> on_ask(share& state, const std::string& peer,
                                          const peer::share_message& wanted, time_point now)
{
    forget_ended(state.given_, now);
    const auto given =
        std::find_if(state.given_.begin(), state.given_.end(), [&](const given_grant& each) {
            return each.peer_ == peer && each.nonce_ == wanted.nonce_;
        });
    if (given != state.given_.end()) {
        return peer::share_message{wanted.resource_, wanted.nonce_, given->amount_};
    }
    const std::uint64_t amount = std::min(spare(state, now), wanted.amount_);
    if (amount == 0) {
        return {};
    }
    state.given_.push_back({peer, wanted.nonce_, amount, now + state.settings_.term_});
    return peer::share_message{wanted.resource_, wanted.nonce_, amount};
}

void on_grant(share& state, const peer::share_message& grant, time_point now)
{
    if (!state.ask_ || state.ask_->nonce_ != grant.nonce_) {
        return;
    }
    const time_point until = state.ask_->sent_ + state.settings_.term_ - state.settings_.margin_;
    state.ask_.reset();
    if (until > now) {
        state.taken_.push_back({grant.amount_, until});
    }
}

} // namespace savoryscale::membership
