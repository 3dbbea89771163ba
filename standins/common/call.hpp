#pragma once

// One call of the load generator and how it can end.

#include "base/clock.hpp"

#include <cstdint>
#include <string>

namespace savoryscale::standins {

enum class call_kind : std::uint8_t { lookup, commit, download, killer };
inline constexpr std::size_t call_kinds = 4;

enum class call_end : std::uint8_t {
    good,    // the whole answer to this very request
    wrong,   // a complete answer that is not it, or bytes that belong to no request
    broken,  // visibly incomplete
    timeout, // no complete answer in time; the caller left
    not_run, // Savoryscale-Outcome: not-run
    unknown, // Savoryscale-Outcome: unknown
    refused, // another status that is no success
};
inline constexpr std::size_t call_ends = 7;

struct call {
    call_kind kind_ = call_kind::lookup;
    std::string target_;    // path and query
    std::string commit_id_; // commits only
    std::string customer_;
    bool keyed_ = false;     // carries Idempotency-Key, which is the commit id
    std::uint64_t size_ = 0; // of the answer's body, or of a commit's body
    std::size_t host_ = 0;   // entry host that it goes to
    std::uint32_t attempts_ = 0;
    time_point intended_{}; // when it should have been sent
};

} // namespace savoryscale::standins
