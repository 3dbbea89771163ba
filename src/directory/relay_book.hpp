#pragma once

// The hosts to which this one can hand requests while it reaches no target of their service.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "directory/host_table.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savoryscale::directory {

// After this time the hosts of the feed are asked again.
inline constexpr std::chrono::milliseconds relay_book_lifetime{500};

// A host that refused a connection, or reaches no target either, is left out for this long.
inline constexpr std::chrono::milliseconds relay_exclusion{500};

struct relay_book {
    std::map<std::string, announced_host, std::less<>> hosts_; // by relay address
    std::map<std::string, time_point, std::less<>> excluded_until_;
    time_point learned_at_{};
};

bool is_current(const relay_book&, time_point now);

// The answers of all hosts of the feed that were asked. `own` is left out.
void on_hosts_learned(relay_book&, std::span<const announced_host>, const settings::endpoint& own,
                      time_point now);

void on_relay_failed(relay_book&, const settings::endpoint& relay, time_point now);

// What a host must be able to do for a request that is handed to it.
struct relay_need {
    service_hash service_ = 0;
    peer::format_number formats_ = peer::first_formats; // at least these
};

// A host that reaches the service's targets, as far as it has said, and was not tried: one in the
// data centre if there is any, at random. None: there is no such host.
std::optional<settings::endpoint> choose_relay(const relay_book&, const relay_need& need,
                                               std::string_view data_centre,
                                               std::span<const settings::endpoint> tried,
                                               time_point now, random_source& random);

} // namespace savoryscale::directory
