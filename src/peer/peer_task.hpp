#pragma once

// Runs the exchange between entry hosts on one thread, which owns the ZeroMQ sockets and the
// exchange state. Commands arrive through a mailbox; events are passed to a sink.
//
// One ROUTER socket accepts links from peers, and one DEALER socket per selected peer opens a link
// to it. Links are bidirectional. The host that opened a link sends heartbeats, and the peer
// answers each of them. A link that stays silent is closed and reopened as a new connection.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/mailbox.hpp"
#include "peer/fact.hpp"
#include "peer/message.hpp"
#include "settings/settings.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace savoryscale::peer {

// Address at which a peer listens. If the key is not known yet it is empty, and the trusted keys in
// the settings are tried in turn.
struct peer_address {
    settings::endpoint address_;
    std::string public_key_;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

// Commands.

struct publish_fact {
    fact fact_;
};

// Sets the links to keep open. All others are closed.
struct set_links {
    std::vector<peer_address> links_;
};

// Sends a share message to a linked peer; to a random one when peer_ is empty.
struct send_share {
    std::string peer_;
    message_kind kind_ = message_kind::share_request; // or share_grant
    share_message share_;
};

using peer_command = std::variant<publish_fact, set_links, send_share>;

// Events.

// A peer sent a fact that is newer than the one known to this host.
struct fact_learned {
    fact fact_;
};

struct fact_expired {
    fact fact_;
};

struct peer_linked {
    std::string peer_;
    bool linked_ = true; // false: the last link to the peer was closed
};

struct share_received {
    std::string peer_;
    message_kind kind_ = message_kind::unknown; // share_request or share_grant
    share_message share_;
};

using peer_event = std::variant<fact_learned, fact_expired, peer_linked, share_received>;

// Settings of a peer_task. `host_id_` identifies this host in messages.
struct peer_task_settings {
    std::string host_id_;
    std::string data_centre_;
    settings::peer_exchange exchange_;
    duration heartbeat_period_ = std::chrono::seconds{2};
    duration silence_timeout_ = std::chrono::seconds{6};
};

// May be read from any thread.
struct peer_counters {
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> messages_sent_{0};
    std::atomic<std::uint64_t> messages_received_{0};
    std::atomic<std::uint64_t> messages_refused_{0};  // did not parse
    std::atomic<std::uint64_t> messages_dropped_{0};  // the link was closed or its queue full
    std::atomic<std::uint64_t> links_reopened_{0};    // reopened after silence_timeout_
    std::atomic<std::uint64_t> untrusted_refused_{0}; // connections with a key that is not trusted
    std::atomic<std::uint64_t> linked_peers_{0};      // gauge
};

class peer_task {
public:
    // `sink` is called on the task's thread and must not block.
    peer_task(peer_task_settings settings, std::function<void(peer_event)> sink);
    peer_task(const peer_task&) = delete;
    peer_task& operator=(const peer_task&) = delete;
    peer_task(peer_task&&) = delete;
    peer_task& operator=(peer_task&&) = delete;
    // Stops the thread and closes the sockets.
    ~peer_task();

    // Binds the listener and starts the thread. Port 0 selects a free port. Errors: unavailable if
    // the address cannot be bound, invalid if a key is malformed.
    result<settings::endpoint> start();

    // May be called from any thread.
    void post(peer_command command);

    const peer_counters& counters() const { return counters_; }

private:
    class loop;

    peer_task_settings settings_;
    std::function<void(peer_event)> sink_;
    peer_counters counters_;
    mailbox<peer_command> commands_;
    std::atomic<bool> stopping_{false};
    int wake_fd_ = -1;
    std::unique_ptr<loop> loop_;
    std::thread thread_;
};

} // namespace savoryscale::peer
