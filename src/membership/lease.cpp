#include "membership/lease.hpp"

#include <algorithm>

namespace savoryscale::membership {

using store::call_status;
using store::operation;

namespace {

duration jittered(duration period, random_source& random)
{
    return std::chrono::duration_cast<duration>(period * (0.75 + 0.5 * uniform_unit(random)));
}

bool is_own(const lease& state)
{
    return state.seen_ && state.seen_holder_ == state.settings_.holder_;
}

lease_call begin(lease& state, lease_call call, time_point now)
{
    if (call.operation_ != operation::get && !state.unresolved_since_) {
        state.unresolved_since_ = now;
    }
    state.call_ = call;
    state.call_started_ = now;
    return call;
}

// A write that makes `holder` the holder, conditional on the version last seen.
lease_call make_write(const lease& state, const std::string& holder)
{
    if (state.seen_version_ == 0) {
        return {operation::create, holder, 0};
    }
    return {operation::update, holder, state.seen_version_};
}

// The term counts from the start of the first write that may have produced the record.
void extend(lease& state, time_point write_started)
{
    const time_point until = write_started + state.settings_.term_ - state.settings_.margin_;
    state.held_until_ = std::max(state.held_until_.value_or(until), until);
}

void observe(lease& state, std::uint64_t version, const std::string& holder, time_point now)
{
    if (!state.seen_ || version != state.seen_version_) {
        state.seen_since_ = now;
    }
    state.seen_ = true;
    state.seen_version_ = version;
    state.seen_holder_ = holder;
}

void on_written(lease& state, const lease_call& call, const store::object_reply& reply,
                time_point now)
{
    observe(state, reply.objects_.front().version_, call.value_, now);
    state.unresolved_since_.reset();
    if (is_own(state)) {
        extend(state, state.call_started_);
    }
    else {
        state.held_until_.reset();
    }
    state.next_call_ = now + state.settings_.renew_period_;
}

void on_read(lease& state, const store::object_reply& reply, time_point now, random_source& random)
{
    const bool found = reply.status_ == call_status::ok;
    const std::uint64_t known = state.seen_version_;
    observe(state, found ? reply.objects_.front().version_ : 0,
            found ? reply.objects_.front().value_ : "", now);
    if (!is_own(state)) {
        const bool is_free = state.seen_holder_.empty();
        state.held_until_.reset();
        state.next_call_ = is_free ? now : now + jittered(state.settings_.read_period_, random);
    }
    else {
        if (state.unresolved_since_ && state.seen_version_ > known) {
            extend(state, *state.unresolved_since_);
        }
        state.next_call_ = now; // renew
    }
    if (state.seen_version_ > known) {
        // Writes conditional on an earlier version can no longer take effect; those on this version
        // still may.
        state.unresolved_since_.reset();
    }
    state.must_read_ = false;
}

} // namespace

bool is_held(const lease& state, time_point now)
{
    return state.held_until_ && now < *state.held_until_;
}

bool is_held_by_other(const lease& state, time_point now)
{
    return state.seen_ && !state.seen_holder_.empty() && !is_own(state) &&
           now - state.seen_since_ < state.settings_.term_;
}

std::optional<lease_call> on_timer(lease& state, bool wanted, time_point now)
{
    if (state.call_ || now < state.next_call_) {
        return {};
    }
    if (!wanted) {
        const bool give_back = is_held(state, now) && is_own(state);
        state.held_until_.reset();
        return give_back ? std::optional{begin(state, make_write(state, ""), now)} : std::nullopt;
    }
    if (state.must_read_ || is_held_by_other(state, now)) {
        return begin(state, {operation::get, "", 0}, now);
    }
    return begin(state, make_write(state, state.settings_.holder_), now);
}

void on_reply(lease& state, const store::object_reply& reply, time_point now, random_source& random)
{
    if (!state.call_) {
        return;
    }
    const lease_call call = *state.call_;
    state.call_.reset();
    const bool has_object = reply.status_ == call_status::ok && !reply.objects_.empty();
    if (call.operation_ == operation::get) {
        if (has_object || reply.status_ == call_status::not_found) {
            on_read(state, reply, now, random);
            return;
        }
    }
    else if (has_object) {
        on_written(state, call, reply, now);
        return;
    }
    else if (reply.status_ == call_status::conflict || reply.status_ == call_status::not_found) {
        ++state.conflicts_;
        state.must_read_ = true; // another write, by this or another host, took effect first
        state.next_call_ = now;
        return;
    }
    state.must_read_ = true;
    state.next_call_ = now + jittered(state.settings_.renew_period_ / 2, random);
}

} // namespace savoryscale::membership
