#pragma once

// The anti-entropy exchange of one host as a state machine: events and the time in, messages out.
//
// A fact that is new here is pushed at once to a few peers; a large one is only offered, and sent
// to those that ask, so that each host receives it once. Every period one random peer is sent a
// digest, and the two settle what differs. Pushes make news fast, digests make it certain.

#include "base/random.hpp"
#include "peer/message.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryscale::peer {

struct exchange_settings {
    std::string host_id_;
    std::size_t fan_out_ = 4;        // peers of the own data centre that a new fact is pushed to
    std::size_t offer_above_ = 1024; // payloads above this are offered, not pushed; bytes
    duration digest_period_ = std::chrono::seconds{1};
    duration want_timeout_ = std::chrono::seconds{1}; // then another peer may be asked
    std::size_t batch_bytes_ =
        std::size_t{64} * 1024; // of facts in one message, unless one is larger
    std::size_t batch_references_ = 1024;
    double budget_bytes_per_second_ = 6 * 1024; // digests pause when more than this is sent
    double budget_burst_bytes_ = std::size_t{64} * 1024;
};

// A peer that messages can be sent to now.
struct linked_peer {
    bool remote_ = false; // in another data centre; every new fact is pushed to it
};

// A fact that was asked for and has not come yet.
struct pending_want {
    std::uint64_t version_ = 0;
    time_point asked_;
};

struct exchange {
    exchange_settings settings_;
    fact_table table_;
    std::map<std::string, linked_peer> peers_; // by host id
    std::map<fact_key, pending_want> wants_;
    time_point next_digest_;
    time_point budget_time_;
    double budget_bytes_ = 0;
};

// A message to one linked peer.
struct outgoing {
    std::string peer_;
    message message_;
};

struct exchange_actions {
    std::vector<outgoing> send_;
    std::vector<fact> learned_; // new here, from a peer
    std::vector<fact> expired_;
};

// A new exchange whose first digest is due within one period of `now`.
exchange make_exchange(exchange_settings settings, time_point now, random_source& random);

// A peer can be reached, or no longer.
void link_peer(exchange& state, const std::string& peer, bool remote);
void unlink_peer(exchange& state, const std::string& peer);

// This host has a fact to tell. Nothing is sent when the table already holds it or a newer one.
exchange_actions tell(exchange& state, const fact& news, time_point now, random_source& random);

// A message of the exchange came from a linked peer; heartbeats and shares are not its concern.
exchange_actions receive(exchange& state, const message& heard, time_point now,
                         random_source& random);

// Time has passed. Call at least ten times a second.
exchange_actions tick(exchange& state, time_point now, random_source& random);

// Charges bytes sent, of any message, to the budget.
void charge(exchange& state, std::size_t bytes);

} // namespace savoryscale::peer
