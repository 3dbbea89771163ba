#include "membership/share.hpp"

#include <algorithm>

namespace savoryscale::membership {

namespace {

std::uint64_t base_of(const share& state)
{
    return state.settings_.total_ / std::max(state.settings_.hosts_max_, 1U);
}

std::uint64_t grantable_base(const share& state)
{
    return base_of(state) / 2;
}

// Whether every grant made by an earlier incarnation of this host has certainly expired.
bool is_past_first_term(const share& state, time_point now)
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
void erase_expired(std::vector<Grant>& grants, time_point now)
{
    std::erase_if(grants, [&](const Grant& each) { return each.until_ <= now; });
}

// The amount that may be granted now: the unused part of this host's own grantable base. Amounts
// received from peers are not passed on.
std::uint64_t grantable_amount(const share& state, time_point now)
{
    if (!state.wanted_ || !is_past_first_term(state, now)) {
        return 0;
    }
    const std::uint64_t left = grantable_base(state) - amount_in_force(state.issued_, now);
    const std::uint64_t may_use = usable_amount(state, now);
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
    state.next_request_ = now;
    return state;
}

std::uint64_t usable_amount(const share& state, time_point now)
{
    const std::uint64_t reserved = base_of(state) - grantable_base(state);
    const std::uint64_t not_granted =
        is_past_first_term(state, now) ? grantable_base(state) - amount_in_force(state.issued_, now)
                                       : 0;
    return reserved + not_granted + amount_in_force(state.received_, now);
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
    for (const issued_grant& each : state.issued_) {
        consider(each.until_);
    }
    for (const received_grant& each : state.received_) {
        consider(each.until_);
    }
    return next;
}

std::optional<peer::share_message> make_share_request(share& state, time_point now)
{
    erase_expired(state.issued_, now);
    erase_expired(state.received_, now);
    const std::uint64_t may_use = usable_amount(state, now);
    if (!state.wanted_ || *state.wanted_ <= may_use || now < state.next_request_) {
        return {};
    }
    state.pending_request_ = {state.next_nonce_++, now};
    // If no grant has arrived by then, another peer is asked.
    state.next_request_ = now + state.settings_.term_ / 10;
    return peer::share_message{state.settings_.resource_, state.pending_request_->nonce_,
                               *state.wanted_ - may_use};
}

std::optional<peer::share_message> on_share_request(share& state, const std::string& peer,
                                                    const peer::share_message& wanted,
                                                    time_point now)
{
    erase_expired(state.issued_, now);
    const auto issued =
        std::find_if(state.issued_.begin(), state.issued_.end(), [&](const issued_grant& each) {
            return each.peer_ == peer && each.nonce_ == wanted.nonce_;
        });
    if (issued != state.issued_.end()) {
        return peer::share_message{wanted.resource_, wanted.nonce_, issued->amount_};
    }
    const std::uint64_t amount = std::min(grantable_amount(state, now), wanted.amount_);
    if (amount == 0) {
        return {};
    }
    state.issued_.push_back({peer, wanted.nonce_, amount, now + state.settings_.term_});
    return peer::share_message{wanted.resource_, wanted.nonce_, amount};
}

void on_share_grant(share& state, const peer::share_message& grant, time_point now)
{
    if (!state.pending_request_ || state.pending_request_->nonce_ != grant.nonce_) {
        return;
    }
    const time_point until =
        state.pending_request_->sent_ + state.settings_.term_ - state.settings_.margin_;
    state.pending_request_.reset();
    if (until > now) {
        state.received_.push_back({grant.amount_, until});
    }
}

} // namespace savoryscale::membership
