#include "http/target_search.hpp"

#include "http/http_task.hpp"
#include "http/service_state.hpp"

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// A round ends after this even if probes are unanswered: their targets are slow, or in a remote
// data centre.
constexpr duration round_timeout = 12ms;

constexpr routing::placement_options options;

} // namespace

target_search::target_search(http_task& owner, service_state& service,
                             std::vector<routing::target_index> exclude,
                             std::optional<time_point> objective_time, done_function done)
    : http_task_{owner},
      service_{service},
      exclude_{std::move(exclude)},
      objective_time_{objective_time},
      done_{std::move(done)}
{
}

target_search::~target_search()
{
    http_task_.loop().cancel(round_timer_);
}

void target_search::start()
{
    const std::chrono::duration<double, std::nano> mean{service_.view_.mean_latency_ns_};
    routing::on_search_started(service_.placement_budget_,
                               std::chrono::duration<double>{mean}.count());
    begin_round();
}

void target_search::begin_round()
{
    ++rounds_;
    const std::size_t count = routing::take_probes(service_.placement_budget_, options.round_size_);
    const auto candidates = routing::probe_candidates(service_.view_, exclude_, count, rounds_ == 1,
                                                      http_task_.loop().now(), http_task_.random());
    exclude_.insert(exclude_.end(), candidates.begin(), candidates.end());
    pending_ = candidates.size();
    if (candidates.empty()) {
        finish(place());
        return;
    }
    round_timer_ = http_task_.loop().after(round_timeout, [this] {
        round_timer_ = 0;
        end_round();
    });
    const std::weak_ptr<target_search> self = weak_from_this();
    const std::size_t round = rounds_;
    for (const routing::target_index target : candidates) {
        http_task_.probe_for_search(service_, target,
                                    [self, target, round](const auto& load, bool usable) {
                                        if (const auto search = self.lock()) {
                                            search->on_probe(round, {target, load}, usable);
                                        }
                                    });
    }
}

// Late answers to probes of an earlier round are used like those of this round.
void target_search::on_probe(std::size_t round, const routing::probed_target& answered, bool usable)
{
    if (!done_) {
        return;
    }
    if (usable) {
        probed_.push_back(answered);
    }
    if (round == rounds_ && pending_ > 0) {
        --pending_;
    }
    const bool good = usable && routing::has_free_target(service_.view_, {&probed_.back(), 1},
                                                         http_task_.loop().now());
    if (good || pending_ == 0) {
        end_round();
    }
}

void target_search::end_round()
{
    http_task_.loop().cancel(std::exchange(round_timer_, 0));
    pending_ = 0;
    const time_point now = http_task_.loop().now();
    const auto objective_left =
        objective_time_ ? std::optional{*objective_time_ - now} : std::nullopt;
    const auto placed = place();
    if (rounds_ >= options.rounds_max_ || routing::has_free_target(service_.view_, probed_, now) ||
        routing::is_acceptable_when_scarce(service_.placement_budget_, placed, objective_left)) {
        finish(placed);
        return;
    }
    begin_round();
}

std::optional<routing::placed_attempt> target_search::place() const
{
    return routing::place(service_.view_, probed_, options, http_task_.loop().now(),
                          http_task_.random());
}

void target_search::finish(std::optional<routing::placed_attempt> placed)
{
    if (!done_) {
        return;
    }
    search_result result;
    result.placed_ = placed;
    routing::on_search_ended(service_.placement_budget_, probed_,
                             routing::own_in_flight(service_.view_), result.placed_.has_value());
    http_task_.limit_extra_attempts(service_);
    result.retry_after_ = routing::time_to_free_slot(service_.view_, probed_);
    result.probed_ = probed_;
    std::exchange(done_, {})(result);
}

} // namespace savoryscale::http
