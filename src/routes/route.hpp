#pragma once

// The desired state of an entry host: which requests go to which service, and within which bounds.

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::routes {

// Whether a request may reach more than one target that may have run it.
enum class repeat_rule : std::uint8_t {
    by_method, // as the service's settings list the methods
    always,
    never,
};

// One service among those that share a route's requests.
struct route_part {
    std::string service_;
    double weight_ = 1; // relative to the other parts

    friend bool operator==(const route_part&, const route_part&) = default;
};

struct route {
    std::string name_;
    std::string host_;        // of the Host header, without a port; empty: any
    std::string path_prefix_; // the longest that fits wins
    repeat_rule repeat_ = repeat_rule::by_method;
    duration timeout_{};             // longest wait for an answer; zero: the service's own
    duration goal_{};                // within which an answer has its full worth; zero: none
    std::uint32_t priority_ = 0;     // 0 goes first when capacity is short
    std::uint32_t attempts_max_ = 3; // targets that one request may be sent to
    std::vector<route_part> parts_;  // never empty

    friend bool operator==(const route&, const route&) = default;
};

struct routed_service {
    std::string name_;
    std::string probe_path_;
    std::uint32_t connections_per_target_ = 200; // all entry hosts together

    friend bool operator==(const routed_service&, const routed_service&) = default;
};

// What callers may send, and how long they may take or stay idle.
struct request_limits {
    std::uint32_t max_header_bytes_ = 16384;
    std::uint64_t max_body_bytes_ = std::uint64_t{1} << 40U;
    duration header_timeout_ = std::chrono::seconds{10};
    duration idle_timeout_ = std::chrono::seconds{60};

    friend bool operator==(const request_limits&, const request_limits&) = default;
};

// Always whole: a version replaces the one before it in every part.
struct desired_state {
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::vector<routed_service> services_;
    request_limits limits_;
};

} // namespace savoryscale::routes
