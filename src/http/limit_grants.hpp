#pragma once

// Obtains grants for requests to targets that name a limit, from this host or another one, and
// grants such requests to other hosts; see routing/limit_granter.hpp.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "http/page_server.hpp"
#include "routing/grant_book.hpp"
#include "routing/limit_granter.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savoryscale::http {

class connection_pool;
class event_loop;

class limit_grants {
public:
    limit_grants(event_loop& loop, random_source& random);
    ~limit_grants();
    limit_grants(const limit_grants&) = delete;
    limit_grants& operator=(const limit_grants&) = delete;
    limit_grants(limit_grants&&) = delete;
    limit_grants& operator=(limit_grants&&) = delete;

    // Sets the hosts that may grant, out of which the same few are chosen on every host that has
    // the same list. Without such hosts this host grants to itself, one `hosts_max`-th of a limit.
    void set_granters(std::span<const settings::endpoint> hosts, const settings::endpoint& own);
    void set_alone(std::uint32_t hosts_max);

    // Answers another host's request.
    page answer(std::string_view path);

    [[nodiscard]] bool may_be_granted(std::string_view target) const;
    duration retry_after(std::span<const routing::grant_wish> wishes);

    // How many hosts grant a part of each limit.
    [[nodiscard]] std::size_t parts() const { return parts_; }

    [[nodiscard]] event_loop& loop() { return loop_; }

private:
    friend class grant_search;

    struct remote_granter {
        settings::endpoint address_;
        std::unique_ptr<connection_pool> pool_; // null: this host
    };

    void retire_granters();

    event_loop& loop_;
    random_source& random_;
    routing::limit_granter granter_;
    routing::grant_book book_;
    std::vector<remote_granter> granters_;            // in the order of book_
    std::size_t parts_ = 0;                           // into which a limit is divided
    std::uint64_t epoch_ = 0;                         // grows when granters_ changes
    std::deque<std::vector<remote_granter>> retired_; // until their last requests have ended
};

} // namespace savoryscale::http
