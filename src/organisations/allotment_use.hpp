#pragma once

// What a host knows of the use of allotments, and its decision on each request.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "organisations/allotment.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace savoryscale::organisations {

struct own_use {
    std::int32_t unreported_ = 0;
    std::int32_t sending_ = 0; // in the report that has not been answered yet
    bool is_near_limit_ = false;
    time_point denied_until_{};
    // Decisions lately, each counted for about `memory_time`.
    double passed_ = 0;
    double refused_ = 0;
    time_point counted_at_{};
    // Used while this host has no granter.
    double own_tokens_ = 0;
    time_point own_filled_at_{};
};

struct allotment_use {
    settings::allotment_bounds bounds_;
    std::uint32_t hosts_max_ = 1; // assumed before the first answer
    std::unordered_map<name_hash, own_use> organisations_;
    std::optional<time_point> answered_at_;
    std::uint32_t hosts_ = 0; // by the last answer
    bool all_near_limit_ = false;
    std::optional<time_point> alone_since_; // none: not since the last answer
};

enum class use_verdict : std::uint8_t {
    passed,
    ask, // a granter decides
    refused,
};

enum class use_decider : std::uint8_t {
    granter,
    denied, // this host, until the time that the granter named
    alone,  // this host, by its part
};

struct use_decision {
    use_verdict verdict_ = use_verdict::passed;
    duration wait_{};                       // if refused: until a request may pass
    use_decider by_ = use_decider::granter; // if refused
    duration return_time_{};                // if refused: callers return within this time after it
};

// Name in logs.
constexpr std::string_view to_string(use_decider by)
{
    constexpr std::array<std::string_view, 3> names{"granter", "denied", "alone"};
    return names[static_cast<std::size_t>(by)];
}

// `may_ask`: a granter may be within reach.
use_decision decide(allotment_use&, name_hash, const allotment&, bool may_ask, time_point now,
                    random_source&);

// The decision without a granter, by this host's part alone.
use_decision decide_alone(allotment_use&, name_hash, const allotment&, time_point now,
                          random_source&);

// Counts a decision, also one of a granter, and returns until when refused callers are to return:
// the more of them there are for each request that passes, the later, so that a returning request
// does not take the place of a fresh one that can still be answered in time.
duration return_time(allotment_use&, name_hash, use_verdict, time_point now);

// A request that passed did not run.
void give_back(allotment_use&, name_hash);

// The next report, without what is wanted. One report is under way at a time: on_answer or
// on_no_answer ends it. `is_first`: this granter has not answered the last one.
use_report take_report(allotment_use&, name_hash host, bool is_first, time_point now);
void on_answer(allotment_use&, const use_answer&, time_point now);
void on_no_answer(allotment_use&);

} // namespace savoryscale::organisations
