#pragma once

// One host's part of a total that all entry hosts share, parts of which are granted to peers for a
// limited time. A state machine without I/O: it takes events and the time, and returns the messages
// to send. Modelled in spec/shares.pml.
//
// Each host has a base of total / hosts_max. It keeps half of it; the other half may be granted for
// one term to a peer that requests it. The grantor deducts the amount before it sends the grant and
// counts the term from the receipt of the request; the requester counts it from when it sent the
// request. So message delays never make both use the amount at once. A host that has just started
// cannot know what its earlier incarnation granted, so it neither uses nor grants that half until a
// full term has passed.

#include "base/clock.hpp"
#include "peer/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::membership {

struct share_settings {
    std::string resource_;
    std::uint64_t total_ = 0; // for all entry hosts, in the unit of the resource
    std::uint32_t hosts_max_ = 1;
    duration term_ = std::chrono::seconds{10}; // of a grant
    duration margin_ =
        std::chrono::seconds{1}; // the requester stops this long before the term ends
};

// Part of this host's base that a peer may use.
struct issued_grant {
    std::string peer_;
    std::uint64_t nonce_ = 0;
    std::uint64_t amount_ = 0;
    time_point until_;
};

// Part of a peer's base that this host may use.
struct received_grant {
    std::uint64_t amount_ = 0;
    time_point until_;
};

struct pending_share_request {
    std::uint64_t nonce_ = 0;
    time_point sent_;
};

struct share {
    share_settings settings_;
    time_point started_;
    std::uint64_t next_nonce_ = 0;
    std::optional<std::uint64_t> wanted_; // this host's demand; while unknown nothing is granted
    std::vector<issued_grant> issued_;
    std::vector<received_grant> received_;
    std::optional<pending_share_request> pending_request_;
    time_point next_request_;
};

// The share of a host that starts now. `first_nonce` must exceed every nonce that earlier
// incarnations of the host used.
share make_share(share_settings settings, std::uint64_t first_nonce, time_point now);

// The amount that this host may use now.
std::uint64_t usable_amount(const share& state, time_point now);

// The next time at which usable_amount changes without an event; time_point::max() if none.
time_point next_change(const share& state, time_point now);

// Returns the request to send to a peer when demand exceeds the usable amount and no request was
// made recently.
std::optional<peer::share_message> make_share_request(share& state, time_point now);

// Processes a peer's request. Returns the grant to send, whose amount is already deducted. A
// repeated request gets the same grant.
std::optional<peer::share_message> on_share_request(share& state, const std::string& peer,
                                                    const peer::share_message& wanted,
                                                    time_point now);

// Processes a grant from a peer. Late and repeated grants have no effect.
void on_share_grant(share& state, const peer::share_message& grant, time_point now);

} // namespace savoryscale::membership
