#pragma once

// The entry hosts that read the directory from this one. A host that reaches no target of a service
// hands its requests to one of them.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "peer/formats.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::directory {

// A service by a hash of its name.
using service_hash = std::uint32_t;
service_hash hash_of_service(std::string_view name);

// One less than a list of hosts may name: a release before the first formats takes the number of
// formats for a service too.
inline constexpr std::size_t unreached_services_max = 15;

// What a host says of itself with each request for the directory.
struct announced_host {
    settings::endpoint relay_; // where it takes requests of other hosts
    std::string data_centre_;
    std::vector<service_hash> unreached_; // services of which no target answers it
    peer::format_number formats_ = peer::first_formats;

    friend bool operator==(const announced_host&, const announced_host&) = default;
};

// Text of a list of hosts; the text of one host has no spaces. Names of data centres with other
// characters than letters, digits, '.', '_' and '-' are left out.
std::string write_hosts(std::span<const announced_host> hosts);
std::optional<std::vector<announced_host>> read_hosts(std::string_view text);

struct host_table {
    struct entry {
        announced_host host_;
        time_point heard_at_{};
    };
    std::map<std::string, entry, std::less<>> entries_; // by relay address
};

inline constexpr std::size_t host_table_max = 1000;

// A host that has not asked for the directory for this long has stopped.
inline constexpr std::chrono::seconds host_lifetime{3};

void on_host_heard(host_table&, const announced_host&, time_point now);

// Up to `count` hosts, at random, those in the data centre first.
std::vector<announced_host> sample_hosts(const host_table&, std::string_view data_centre,
                                         std::size_t count, time_point now, random_source& random);

} // namespace savoryscale::directory
