#pragma once

// The two lists that operators edit: customers with their plans, and plans with their allowances.

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::plans {

// When an entry was last set.
struct stamp {
    std::uint64_t version_ = 0; // version of the lists that the change created
    std::int64_t set_ms_ = 0;   // since the epoch, by the operator's clock; for display only

    friend bool operator==(const stamp&, const stamp&) = default;
};

// Order in which calls are served when a service is short of capacity.
enum class priority : std::uint8_t { low, normal, high };

// How much of one service a plan may use, summed over all entry hosts.
struct allowance {
    std::string service_;
    double calls_per_second_ = 0;
    double burst_calls_ = 0;
    std::uint32_t concurrency_ = 0; // calls in progress at once, per customer
    priority priority_ = priority::normal;

    friend bool operator==(const allowance&, const allowance&) = default;
};

// A named set of allowances, sorted by service.
struct plan {
    std::string name_;
    std::vector<allowance> allowances_;
    stamp stamp_;

    friend bool operator==(const plan&, const plan&) = default;
};

// A customer and its plan.
struct customer {
    std::string name_;
    std::string plan_;
    stamp stamp_;

    friend bool operator==(const customer&, const customer&) = default;
};

// Both lists in force, each sorted by name.
struct lists {
    std::uint64_t version_ = 0; // version of the accepted configuration; never decreases
    std::vector<customer> customers_;
    std::vector<plan> plans_;

    friend bool operator==(const lists&, const lists&) = default;
};

} // namespace savoryscale::plans
