#pragma once

// The targets of all services as the store lists them. An entry whose identity changes is a new
// server, even at a known address; only the latest entry at an address is used. An entry of a
// service that the desired state does not name may be another writer's, and replaces none.
//
// During a store outage, entries expire although their targets still run. Entries that are missing
// when the store recovers are kept for recovery_grace, in which live targets register again. Only
// this host uses them meanwhile: what it tells other hosts is what the store lists.

#include "base/clock.hpp"
#include "directory/target_entry.hpp"
#include "routing/target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::directory {

// Live targets register again within two seconds of the store's recovery.
inline constexpr duration recovery_grace = std::chrono::milliseconds{2400};

struct known_entry {
    target_entry entry_;
    std::uint64_t incarnation_ = 0; // grows with each new identity in the registry
    std::optional<time_point> missing_since_;
};

enum class target_change : std::uint8_t { joined, leaving, missing, gone };

// A change of one target, for the log.
struct target_event {
    target_entry entry_;
    target_change change_ = target_change::joined;
};

struct registry {
    std::map<std::string, known_entry, std::less<>> entries_; // by id
    std::uint64_t last_incarnation_ = 0;
    std::optional<time_point> store_recovered_at_;
    // Of the desired state; none before the first one.
    std::optional<std::set<std::string, std::less<>>> named_services_;
    std::set<std::string> changed_services_;   // whose targets must be published again
    std::vector<target_event> pending_events_; // not yet logged
};

// The complete list was read, oldest entry first.
void on_list(registry&, std::span<const target_entry> listed, time_point now);

// The desired state names these services. All targets must be published again, since entries of
// services that it names now or no longer count at their addresses.
void on_services_named(registry&, std::set<std::string, std::less<>> services);

// One entry was written or removed.
void on_entry(registry&, const target_entry&);
void on_removed(registry&, std::string_view id, time_point now);

// The store responds again after an outage.
void on_store_recovered(registry&, time_point now);

// The store was not away, only this host was cut off from it: missing entries are gone.
void on_outage_disproved(registry&);

// Whether any entry is kept although the store does not list it.
bool has_missing(const registry&);

// Erases missing entries whose grace is over. Returns when to call again; none if none is missing.
std::optional<time_point> expire(registry&, time_point now);

// The targets of one service, including leaving ones.
std::vector<routing::target_info> targets_of(const registry&, std::string_view service);

} // namespace savoryscale::directory
