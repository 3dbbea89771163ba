#pragma once

// The anti-entropy exchange of one host as a state machine. It takes events and the time and
// returns messages.
//
// A fact that is new to this host is pushed at once to a few peers. A large fact is only offered
// and sent on request, so that each host receives it once. In every period a digest goes to one
// random peer, and the two hosts reconcile the differences. Pushes are fast; digests make delivery
// reliable.

#include "base/random.hpp"
#include "peer/message.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryscale::peer {

struct exchange_settings {
    std::string host_id_;
    std::size_t fan_out_ = 4;        // local peers that a new fact is pushed to
    std::size_t offer_above_ = 1024; // bytes; larger payloads are offered, not pushed
    duration digest_period_ = std::chrono::seconds{1};
    duration fetch_timeout_ = std::chrono::seconds{1}; // after this, another peer may be asked
    std::size_t batch_bytes_ =
        std::size_t{64} * 1024; // of facts in one message; a larger fact gets a message of its own
    std::size_t batch_references_ = 1024;
    double budget_bytes_per_second_ = 6 * 1024; // digests pause while more than this is sent
    double budget_burst_bytes_ = std::size_t{64} * 1024;
};

// A peer that is currently reachable.
struct linked_peer {
    bool remote_ = false; // in another data centre; every new fact is pushed to it
};

// A fact that was requested from a peer and has not arrived.
struct pending_fetch {
    std::uint64_t version_ = 0;
    time_point requested_;
};

struct exchange {
    exchange_settings settings_;
    fact_table table_;
    std::map<std::string, linked_peer> peers_; // by host id
    std::map<fact_key, pending_fetch> fetches_;
    time_point next_digest_;
    time_point budget_time_;
    double budget_bytes_ = 0;
};

// A message to one linked peer.
struct outgoing_message {
    std::string peer_;
    message message_;
};

struct exchange_actions {
    std::vector<outgoing_message> send_;
    std::vector<fact> learned_; // received from a peer and new to this host
    std::vector<fact> expired_;
};

// Creates an exchange. The first digest is due 0.5 to 1.5 periods after `now`.
exchange make_exchange(exchange_settings settings, time_point now, random_source& random);

// Add a peer that has become reachable, and remove one that no longer is.
void link_peer(exchange& state, const std::string& peer, bool remote);
void unlink_peer(exchange& state, const std::string& peer);

// Publishes a fact of this host. Nothing is sent if the table already holds it or a newer version.
exchange_actions publish(exchange& state, const fact& update, time_point now,
                         random_source& random);

// Handles a message from a linked peer. Heartbeats and share messages are ignored.
exchange_actions receive(exchange& state, const message& received, time_point now,
                         random_source& random);

// Does periodic work. Call it at least ten times per second.
exchange_actions tick(exchange& state, time_point now, random_source& random);

// Charges the bytes of a sent message of any kind to the budget.
void charge(exchange& state, std::size_t bytes);

} // namespace savoryscale::peer
