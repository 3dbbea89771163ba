#pragma once

// A call of the load generator and how it can end.

#include "base/clock.hpp"

#include <cstdint>
#include <string>

namespace savoryscale::standins {

enum class call_kind : std::uint8_t { lookup, commit, download, crashing_request };
inline constexpr std::size_t call_kind_count = 4;

enum class call_end : std::uint8_t {
    good,    // the complete and correct answer
    wrong,   // a complete answer with other content, or bytes that belong to no request
    broken,  // connection error, or closed before the answer was complete
    timeout, // no complete answer in time; the caller closed the connection
    not_run, // Savoryscale-Outcome: not-run
    unknown, // Savoryscale-Outcome: unknown
    refused, // any other status than 200
};
inline constexpr std::size_t call_end_count = 7;

struct call {
    call_kind kind_ = call_kind::lookup;
    std::string target_;    // path and query
    std::string commit_id_; // commits only
    std::string customer_;
    bool keyed_ = false;     // carries Idempotency-Key, which is the commit id
    std::uint64_t size_ = 0; // of the answer's body, or of a commit's body
    std::size_t host_ = 0;   // index of the entry host
    std::uint32_t attempts_ = 0;
    time_point intended_{}; // scheduled send time; latencies count from it
};

} // namespace savoryscale::standins
