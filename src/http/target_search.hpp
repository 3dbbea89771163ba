#pragma once

// Finds the target for one attempt by probing a few targets just before the attempt is sent; see
// routing/placement.hpp and routing/search_progress.hpp.

#include "http/timer_queue.hpp"
#include "routing/cold_targets.hpp"
#include "routing/limit_granter.hpp"
#include "routing/placement.hpp"
#include "routing/search_progress.hpp"
#include "routing/slot_claim.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace savoryscale::http {

class grant_search;
class http_task;
struct service_state;

// What the caller may claim of the room at the targets, and its answer's due times.
struct search_claim {
    routing::slot_claim slot_ = routing::slot_claim::any;
    std::optional<time_point> objective_time_; // by the route's objective; none: it has none
    duration objective_{};                     // of the route, for a caller's first try
};

// Result of a search. If no target was found, `retry_after_` is the expected wait for a slot.
struct search_result {
    std::optional<routing::placed_attempt> placed_;
    std::vector<routing::probed_target> probed_;
    routing::search_end end_ = routing::search_end::found;
    std::size_t probes_ = 0;  // sent
    std::size_t answers_ = 0; // by targets that can take requests
    duration retry_after_{};
};

class target_search : public std::enable_shared_from_this<target_search> {
public:
    using done_function = std::function<void(const search_result&)>;

    // `limited_allowed`: targets that name a limit may be chosen; `priority`: of the route.
    // `time_left`: until the request's deadline. `done` is not called once the last owner has
    // dropped the search.
    target_search(http_task& owner, service_state& service,
                  std::vector<routing::target_index> exclude, bool limited_allowed,
                  std::uint32_t priority, const search_claim& claim, duration time_left,
                  done_function done);
    ~target_search();
    target_search(const target_search&) = delete;
    target_search& operator=(const target_search&) = delete;
    target_search(target_search&&) = delete;
    target_search& operator=(target_search&&) = delete;

    // Starts the search; `done` may be called before this returns.
    void start();

private:
    void begin_round();
    void on_probe(std::size_t round, const routing::probed_target& answered, bool usable);
    void proceed();
    void wait();
    std::optional<routing::placed_attempt> place() const;
    std::optional<duration> objective_left() const;
    void note_room();
    std::optional<routing::placed_attempt> place_without_answer();
    std::optional<routing::request_limit> limit_of(routing::target_index target) const;
    bool is_denied(routing::target_index target) const;
    void deny(routing::target_index target);
    void deny_ungrantable();
    void exclude_limited();
    void end_or_ask_for_grant(const std::optional<routing::placed_attempt>& placed);
    bool ask_for_grant(std::vector<routing::placed_attempt> grantable);
    void on_grant_decided(std::optional<std::size_t> granted);
    void finish(std::optional<routing::placed_attempt> placed);
    routing::search_end reason_without_target() const;
    duration retry_after(bool silent);

    http_task& http_task_;
    service_state& service_;
    std::vector<routing::target_index> tried_;   // by earlier attempts
    std::vector<routing::target_index> exclude_; // including the targets already probed
    bool limited_allowed_;
    std::uint32_t priority_;
    search_claim claim_;
    done_function done_;
    std::vector<routing::probed_target> probed_;
    routing::search_progress progress_;
    time_point started_{};
    time_point patience_ends_{};
    std::unique_ptr<grant_search> grant_search_; // while a grant is asked for
    bool asked_probed_ = false;                  // for a grant for one of the targets probed
    bool asked_unprobed_ = false;
    std::vector<routing::placed_attempt> grantable_; // the targets it may be for
    std::vector<routing::target_index> denied_targets_;
    std::vector<routing::grant_wish> denied_; // for Retry-After
    timer_id round_timer_ = 0;
    timer_id patience_timer_ = 0;
};

} // namespace savoryscale::http
