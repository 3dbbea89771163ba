#pragma once

// Keeps an entry host's routes, services and targets in step with the store, through the store
// itself or a peer, and passes changes to the HTTP task and to peers. Runs on the HTTP task's loop.

#include "base/error.hpp"
#include "base/random.hpp"
#include "directory/emptied.hpp"
#include "directory/feed.hpp"
#include "directory/feed_client.hpp"
#include "directory/feed_server.hpp"
#include "directory/follower.hpp"
#include "directory/host_table.hpp"
#include "directory/registry.hpp"
#include "directory/source.hpp"
#include "directory/store_contact.hpp"
#include "directory/store_era.hpp"
#include "directory/suspicion_keeper.hpp"
#include "http/connection_pool.hpp"
#include "http/page_server.hpp"
#include "routes/route.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::http {
class event_loop;
} // namespace savoryscale::http

namespace savoryscale::directory {

struct dialect;

struct directory_events {
    std::function<void(routes::desired_state)> on_desired_state_;
    std::function<void(const std::string& service, std::vector<routing::target_info>)> on_targets_;
    // The data centres whose targets are to get no requests, all of them.
    std::function<void(const std::vector<std::string>&)> on_emptied_;
    std::function<void(store::operation, store::call_status)> on_store_call_;
    std::function<void(std::uint64_t era)> on_store_era_; // the store names another era
    std::function<void()> on_peers_lost_; // newer settings may list other peers; see set_peers
    // Another host's request that is not about the directory.
    std::function<http::page(std::string_view path)> on_peer_request_;
    std::function<void(const std::vector<peer::fact>&)> on_suspicions_; // from a peer or the store
    std::function<std::vector<service_hash>()> unreached_services_;     // by this host
    // This host reads from a peer ("ip:port") that it has not read from since that was started.
    std::function<void(const std::string& peer)> on_peer_started_;
};

class directory_task {
public:
    directory_task(http::event_loop& loop, const settings::directory& config,
                   const dialect& store_dialect, const settings::host& host, std::uint64_t seed,
                   directory_events events);
    ~directory_task();
    directory_task(const directory_task&) = delete;
    directory_task& operator=(const directory_task&) = delete;
    directory_task(directory_task&&) = delete;
    directory_task& operator=(directory_task&&) = delete;

    // Starts serving peers and requesting data. Returns the port that serves peers, or 0 if this
    // host serves none.
    result<std::uint16_t> start();

    // Sets the hosts to request data from, after the settings have changed.
    void set_peers(const std::vector<settings::endpoint>& hosts);

    // Passes a suspicion on to the hosts that read from this one, or through the store.
    void share_suspicion(const peer::fact& suspicion);

    // The hosts that read from this one, and this one itself, those in the data centre first.
    std::vector<announced_host> known_hosts(std::string_view data_centre);

    // When the store last confirmed what this host knows; none before the first time.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return as_of(source_); }

    // Whether a desired state and the list of targets are known.
    [[nodiscard]] bool is_complete() const
    {
        return version_ > 0 && targets_listed_ && is_emptied_known();
    }

    // When the store last confirmed the list of data centres to be emptied; none: it is not known.
    [[nodiscard]] std::optional<time_point> emptied_as_of() const
    {
        return feed_.emptied_ ? std::optional{feed_.emptied_->confirmed_at_} : std::nullopt;
    }

private:
    void on_configuration(const follow_update& update);
    bool apply_desired_state(const nlohmann::json& value, std::string document,
                             std::uint64_t revision);
    void on_targets(const follow_update& update);
    void apply_target_update(const follow_update& update, time_point now);
    void apply_target_list(const std::vector<stored_object>& objects, time_point now);
    std::string_view on_page(const feed_page& page);
    bool apply_page(const feed_page& page);
    void on_peer_contact(const feed_page& page);
    void on_store_contact(const contact_span& span);
    [[nodiscard]] bool is_gap_in_doubt() const;
    void check_peer_requests(time_point now);
    [[nodiscard]] feed_position requested_position() const;
    void receive_suspicions(const std::vector<peer::fact>& suspicions);
    void apply_page_targets(const feed_page& page, time_point now);
    void update_store_as_of();
    std::optional<announced_host> own_announcement() const;
    bool on_era(std::optional<std::uint64_t> named, time_point began, const follower& answered);
    void on_store_restored(const follower* known);
    bool is_older(const feed_page& page) const;
    void change_era(std::uint64_t before);
    void after_update();
    void check_sources();
    void set_store_active(bool store_needed);
    void apply_target_entry(const stored_object& changed, time_point now);
    [[nodiscard]] bool follows_emptied() const;
    [[nodiscard]] bool is_emptied_known() const;
    [[nodiscard]] duration bound() const;
    void start_emptied();
    void check_emptied_source(time_point now);
    [[nodiscard]] std::optional<time_point> next_emptied_check(time_point now) const;
    void on_emptied(const follow_update& update);
    void apply_page_emptied(const feed_page& page, time_point now);
    void apply_emptied(emptied_list list, const std::string& source);
    void log_rejected_entry(const std::string& id, const error& reason);
    void publish_target_changes();
    void expire_missing_targets();

    http::event_loop& loop_;
    const settings::directory& config_;
    const dialect& dialect_;
    std::string host_id_;
    std::string data_centre_;
    random_source random_;
    directory_events events_;
    http::connection_pool pool_;
    registry registry_;
    std::set<std::string> logged_rejections_; // ids of invalid entries already logged
    std::uint64_t version_ = 0;
    bool targets_listed_ = false;
    store_era era_; // by the store's answers to this host or to its peers
    http::timer_id expiry_timer_ = 0;
    follower configuration_;
    follower targets_;
    follower emptied_;
    suspicion_keeper keeper_;
    bool receiving_suspicions_ = false; // on_suspicions_ is being called
    feed feed_;
    source_state source_;
    store_contact contact_;
    bool asks_in_doubt_ = false; // peers are asked because a gap is in doubt
    known_revision told_;        // of the targets, by peers
    emptied_source emptied_source_;
    http::timer_id emptied_timer_ = 0;
    feed_position position_;                     // in the feed of the peer that responded last
    std::optional<time_point> store_down_since_; // as reported by a peer
    bool checking_sources_ = false;
    http::timer_id source_check_timer_ = 0;
    host_table host_table_; // the hosts that read from this one
    feed_client client_;
    feed_server server_;
};

} // namespace savoryscale::directory
