#pragma once

// The targets of all services as the store lists them. An entry whose identity changes is a new
// server, also at an address that is known; at most one entry holds an address.
//
// While the store is away entries lapse although their targets live. What is missing when it
// returns is kept for return_grace, within which living targets register again.

#include "base/clock.hpp"
#include "directory/target_entry.hpp"
#include "routing/target.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::directory {

// Living targets are back in the store within two seconds of its return.
inline constexpr duration return_grace = std::chrono::milliseconds{2400};

struct known_entry {
    target_entry entry_;
    std::uint64_t incarnation_ = 0; // grows with each new identity in the registry
    std::optional<time_point> missing_since_;
};

enum class target_change : std::uint8_t { joined, leaving, gone };

// What became of one target, for the log.
struct target_news {
    target_entry entry_;
    target_change change_ = target_change::joined;
};

struct registry {
    std::map<std::string, known_entry, std::less<>> entries_; // by id
    std::uint64_t last_incarnation_ = 0;
    std::optional<time_point> store_returned_;
    std::set<std::string> changed_; // services whose targets are to be told anew
    std::vector<target_news> news_; // since they were last taken
};

// The whole list was read, oldest entry first.
void on_list(registry&, std::span<const target_entry> listed, time_point now);

// One entry was written or removed.
void on_entry(registry&, const target_entry&);
void on_removed(registry&, std::string_view id, time_point now);

// The store answers again after an outage.
void on_store_returned(registry&, time_point now);

// Drops what is still missing. Returns when to call again; none when nothing is missing.
std::optional<time_point> expire(registry&, time_point now);

// The targets of one service, the leaving ones among them.
std::vector<routing::target_info> targets_of(const registry&, std::string_view service);

} // namespace savoryscale::directory
