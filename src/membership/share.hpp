#pragma once

// One host's part of a total that all entry hosts share, with grants for a bounded time: events and
// the time in, messages out. Modelled in spec/shares.pml.
//
// Each host has a base of total / hosts_max. Half of it stays with the host; the other half may be
// granted to a peer that asks, for one term. The giver deducts before it sends and counts the term
// from the arrival of the ask; the taker counts it from the sending, so that no delay makes them
// overlap. A host that has just started cannot know what an earlier life gave away, so it neither
// uses nor gives that half before a full term has passed.

#include "base/clock.hpp"
#include "peer/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::membership {

struct share_settings {
    std::string resource_;
    std::uint64_t total_ = 0; // of all entry hosts, in the unit of the resource
    std::uint32_t hosts_max_ = 1;
    duration term_ = std::chrono::seconds{10};  // of a grant
    duration margin_ = std::chrono::seconds{1}; // the taker ends this much early
};

// Part of the base that a peer may use.
struct given_grant {
    std::string peer_;
    std::uint64_t nonce_ = 0;
    std::uint64_t amount_ = 0;
    time_point until_;
};

// Part of a peer's base that may be used here.
struct taken_grant {
    std::uint64_t amount_ = 0;
    time_point until_;
};

struct pending_ask {
    std::uint64_t nonce_ = 0;
    time_point sent_;
};

struct share {
    share_settings settings_;
    time_point started_;
    std::uint64_t next_nonce_ = 0;
    std::optional<std::uint64_t> wanted_; // what could be used here; unknown: nothing is given
    std::vector<given_grant> given_;
    std::vector<taken_grant> taken_;
    std::optional<pending_ask> ask_;
    time_point next_ask_;
};

// A share of a host that starts now. `first_nonce` must be above those of its earlier lives.
share make_share(share_settings settings, std::uint64_t first_nonce, time_point now);

// What may be used now.
std::uint64_t usable(const share& state, time_point now);

// The next time at which `usable` changes by itself; time_point::max() when it does not.
time_point next_change(const share& state, time_point now);

// The ask to send to a peer, when more is wanted than may be used and none is under way.
std::optional<peer::share_message> ask(share& state, time_point now);

// A peer asks. Returns the grant to send, which is deducted already. The same ask repeated gets the
// same grant.
std::optional<peer::share_message> on_ask(share& state, const std::string& peer,
                                          const peer::share_message& wanted, time_point now);

// A peer grants. Late and repeated grants are without effect.
void on_grant(share& state, const peer::share_message& grant, time_point now);

} // namespace savoryscale::membership
