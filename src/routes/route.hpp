#pragma once

// The desired state of an entry host: which requests go to which service, and their limits.

#include "base/clock.hpp"
#include "organisations/organisation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::routes {

// Whether a request that a target may have run can be sent to another target.
enum class repeat_rule : std::uint8_t {
    by_method, // for the methods that the service's settings list
    always,
    never,
};

// One service among those that share a route's requests.
struct weighted_service {
    std::string service_;
    double weight_ = 1; // relative to the other services of the route

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

struct route {
    std::string name_;
    std::string host_;        // of the Host header, without a port; empty: any
    std::string path_prefix_; // the longest match wins
    repeat_rule repeat_ = repeat_rule::by_method;
    duration timeout_{};             // longest wait for a response; zero: the service's
    duration latency_objective_{};   // a later response is worth less; zero: none
    bool has_large_bodies_ = false;  // uploads: more of a body is kept for another attempt
    bool needs_key_ = true;          // where the desired state lists organisations
    std::uint32_t priority_ = 0;     // 0 is served first when capacity is short
    std::uint32_t attempts_max_ = 3; // targets that one request may be sent to
    std::vector<weighted_service> weighted_services_; // never empty

    friend bool operator==(const route&, const route&) = default;
};

struct routed_service {
    std::string name_;
    std::string probe_path_;
    std::uint32_t connections_per_target_ = 200; // total over all entry hosts
    duration warm_up_{};                         // how long a target is cold after its start
    double cold_per_second_ = 0; // requests that a cold target bears from all hosts; 0: any number

    friend bool operator==(const routed_service&, const routed_service&) = default;
};

// Limits on what callers may send, and on how long they may take or stay idle.
struct request_limits {
    std::uint32_t max_header_bytes_ = 16384;
    std::uint64_t max_body_bytes_ = std::uint64_t{1} << 40U;
    duration header_timeout_ = std::chrono::seconds{10};
    duration idle_timeout_ = std::chrono::seconds{60};

    friend bool operator==(const request_limits&, const request_limits&) = default;
};

// Always complete: a version replaces the previous one entirely.
struct desired_state {
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::vector<routed_service> services_;
    request_limits limits_;
    // None: callers carry no keys, and no organisation is known.
    std::optional<std::vector<organisations::organisation>> organisations_{};
};

} // namespace savoryscale::routes
