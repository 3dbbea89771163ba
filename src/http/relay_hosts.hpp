#pragma once

// Finds the hosts to which this one can hand requests, by asking the hosts of the feed, and keeps
// the connections to them; see directory/relay_book.hpp.

#include "base/random.hpp"
#include "directory/host_table.hpp"
#include "directory/relay_book.hpp"
#include "http/timer_queue.hpp"
#include "settings/settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace savoryscale::http {

class buffered_exchange;
class connection_pool;
class event_loop;

class relay_hosts {
public:
    // A host and the connections to it.
    struct relay {
        settings::endpoint address_;
        connection_pool* pool_ = nullptr;
    };
    using found_function = std::function<void(const std::optional<relay>&)>;

    relay_hosts(event_loop& loop, random_source& random, const settings::settings& config);
    ~relay_hosts();
    relay_hosts(const relay_hosts&) = delete;
    relay_hosts& operator=(const relay_hosts&) = delete;
    relay_hosts(relay_hosts&&) = delete;
    relay_hosts& operator=(relay_hosts&&) = delete;

    // Whether this host takes part: it has an address for requests of other hosts.
    [[nodiscard]] bool is_enabled() const;

    void set_feed_hosts(std::span<const settings::endpoint> hosts);

    // Hosts that this one knows without asking, since they read from it.
    void set_known_hosts(std::function<std::vector<directory::announced_host>()> known)
    {
        known_ = std::move(known);
    }

    // Passes a host that reaches the service to `found`, possibly before this returns. Returns an
    // id for cancel(); 0 if `found` has been called.
    std::uint64_t find(const directory::relay_need& need, std::vector<settings::endpoint> tried,
                       found_function found);
    void cancel(std::uint64_t id) { waiting_.erase(id); }

    void on_failed(const settings::endpoint& relay);

    // Closes connections that have been idle for long.
    void close_aged(time_point now);

private:
    struct waiting_call {
        directory::relay_need need_;
        std::vector<settings::endpoint> tried_;
        found_function found_;
    };
    struct feed_host {
        std::unique_ptr<connection_pool> pool_;
        std::unique_ptr<buffered_exchange> exchange_;
    };

    void ask();
    void on_answered();
    void resolve(bool all_answered);
    std::optional<relay> choose(const waiting_call& call);

    event_loop& loop_;
    random_source& random_;
    const settings::settings& config_;
    std::function<std::vector<directory::announced_host>()> known_;
    directory::relay_book book_;
    std::vector<directory::announced_host> learning_; // from the answers so far
    std::vector<std::unique_ptr<feed_host>> feed_hosts_;
    std::size_t unanswered_ = 0;
    std::map<std::uint64_t, waiting_call> waiting_;
    std::uint64_t last_id_ = 0;
    std::map<std::string, std::unique_ptr<connection_pool>, std::less<>> pools_; // by address
};

} // namespace savoryscale::http
