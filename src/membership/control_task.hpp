#pragma once

// The control plane of one entry host, on one thread: the exchange with peers, the two lists, the
// views of hosts and targets, the watcher leases and the status records. It communicates with the
// request path through the callbacks below and the events posted to it.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "peer/fact.hpp"
#include "plans/lists.hpp"
#include "routing/target.hpp"
#include "settings/settings.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace savoryscale::store {
class host_list_client;
class object_client;
} // namespace savoryscale::store

namespace savoryscale::peer {
struct peer_counters;
} // namespace savoryscale::peer

namespace savoryscale::membership {

// A host's part of a total that all entry hosts share, in the unit of the resource (an amount or a
// rate per second).
struct share_limit {
    std::string resource_;          // "probes/SERVICE", "probe_bytes/SERVICE"
    std::uint64_t amount_ = 0;      // usable until until_
    std::uint64_t next_amount_ = 0; // usable from until_ on, unless a newer limit is reported
    time_point until_;
};

// Periods of the control task.
struct control_timing {
    duration contend_after_ = std::chrono::seconds{3};    // from the start, to learn facts first
    duration isolated_after_ = std::chrono::seconds{5};   // without a linked peer
    duration host_list_period_ = std::chrono::seconds{2}; // between reads by a watcher
    duration links_period_ = std::chrono::seconds{1};
    duration unknown_address_period_ =
        std::chrono::seconds{10}; // between tries of addresses that the host view lacks
    duration lease_term_ = std::chrono::seconds{10}; // see lease_settings for the next three
    duration lease_margin_ = std::chrono::seconds{1};
    duration lease_renew_period_ = std::chrono::seconds{3};
    duration lease_read_period_ = std::chrono::seconds{5};
    duration share_term_ = std::chrono::seconds{10}; // see share_settings for this and the next
    duration share_margin_ = std::chrono::seconds{1};
};

// Called on the control task's thread. They must not block, and should post to the task they serve.
struct control_callbacks {
    std::function<void(const plans::lists&)> on_lists_; // newer lists were adopted
    std::function<void(const std::string& service, const std::vector<routing::target_info>&)>
        on_targets_; // all targets of one service, when any of them changed
    std::function<void(const peer::fact&)> on_suspicion_; // a suspicion received from a peer
    std::function<void(bool)> on_ready_;                  // whether the host may serve
    std::function<void(const share_limit&)> on_share_;
};

// Events from the request path.

// A target signalled that it is draining. `incarnation_` comes from the target_info that the
// request was routed with.
struct drain_seen {
    std::string service_;
    settings::endpoint address_;
    std::uint64_t incarnation_ = 0;
};

// A suspicion to publish to the peers.
struct suspicion_raised {
    peer::fact fact_;
};

// How much of a resource this host could use now, in the unit of its share_limit.
struct share_demand {
    std::string resource_;
    std::uint64_t wanted_ = 0;
};

// This host is shutting down: peers are informed and the host is no longer ready.
struct stopping {};

using control_event = std::variant<drain_seen, suspicion_raised, share_demand, stopping>;

// May be read by any thread.
struct control_counters {
    std::atomic<std::uint64_t> lists_version_{0}; // gauge; 0: none
    std::atomic<std::uint64_t> store_calls_{0};
    std::atomic<std::uint64_t> host_list_calls_{0};
    std::atomic<std::uint64_t> lease_terms_{0};    // times that this host became a watcher
    std::atomic<std::uint64_t> watching_{0};       // gauge: 1 while it holds a lease
    std::atomic<std::uint64_t> live_hosts_{0};     // gauge: live entry hosts, this one included
    std::atomic<std::uint64_t> facts_rejected_{0}; // payload could not be parsed
};

class control_task {
public:
    // The clients must outlive the task. Replies to calls in progress at destruction are ignored.
    control_task(const settings::settings& settings, store::object_client& store,
                 store::host_list_client& host_list, control_callbacks callbacks,
                 const control_timing& timing = {});
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;
    control_task(control_task&&) = delete;
    control_task& operator=(control_task&&) = delete;
    // Stops the thread and closes the peer exchange.
    ~control_task();

    // Binds the peer listener, if the settings configure one, and starts the thread. Errors:
    // unavailable when the address cannot be bound, invalid for bad keys.
    result<void> start();

    // The address at which peers reach this host. Known after start(), which resolves port 0.
    const settings::endpoint& exchange_address() const { return exchange_address_; }

    // Any thread may post.
    void post(control_event event);

    const control_counters& counters() const { return counters_; }

    // Counters of the peer exchange; nullptr when none is configured.
    const peer::peer_counters* exchange_counters() const;

private:
    class loop;

    control_counters counters_;
    settings::endpoint exchange_address_;
    std::unique_ptr<loop> loop_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace savoryscale::membership
