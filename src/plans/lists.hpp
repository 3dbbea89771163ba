#pragma once

// The two lists that operators edit: the plans their customers are on, and what each plan may use.

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::plans {

// When an entry was last set.
struct stamp {
    std::uint64_t version_ = 0; // of the lists that the change made
    std::int64_t set_ms_ = 0;   // wall clock of the operator's machine, since the epoch; for people

    friend bool operator==(const stamp&, const stamp&) = default;
};

// Who goes first when a service is short of capacity.
enum class priority : std::uint8_t { low, normal, high };

// What one plan may use of one service. All entry hosts together.
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

// The plan one customer is on.
struct customer {
    std::string name_;
    std::string plan_;
    stamp stamp_;

    friend bool operator==(const customer&, const customer&) = default;
};

// Both lists as they are in force, each sorted by name.
struct lists {
    std::uint64_t version_ = 0; // of the accepted configuration; it only grows
    std::vector<customer> customers_;
    std::vector<plan> plans_;

    friend bool operator==(const lists&, const lists&) = default;
};

} // namespace savoryscale::plans
