#pragma once

// Counters of a stand-in upstream, to check the balancer's behaviour from the upstream's side.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace savoryscale::standins {

// How often a commit started in a slot, and how often it was completed.
struct commit_count {
    std::uint32_t started_ = 0;
    std::uint32_t ran_ = 0;
};

struct target_counters {
    std::uint64_t requests_ = 0; // received, probes not included
    std::uint64_t started_ = 0;
    std::uint64_t cancelled_ = 0; // the connection closed before the end
    std::uint64_t shed_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t probes_ = 0;
    std::uint64_t faults_ = 0;
    std::uint64_t crashes_ = 0;
    std::uint64_t connections_ = 0; // open now
    std::uint64_t connections_max_ = 0;
    std::uint64_t connections_opened_ = 0;
    std::uint64_t requests_after_drain_ = 0;
    std::uint64_t requests_after_drain_3s_ = 0; // more than 3 s after the drain started
};

// Totals over all targets of the process.
struct shared_counters {
    std::unordered_map<std::string, commit_count> commits_;
    std::vector<std::uint32_t> probes_per_second_; // by second since the start
};

} // namespace savoryscale::standins
