#include "admission/admission.hpp"

#include <algorithm>

namespace savoryscale::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration retry_after_overload = milliseconds{500};
constexpr duration retry_after_concurrency = milliseconds{100};
constexpr duration retry_after_no_lists = seconds{1};
constexpr duration retry_after_not_allowed = seconds{30};
constexpr duration retry_after_max = seconds{60};
constexpr int sweep_steps = 2; // accounts checked for eviction in each admission

// Calls in progress per slot from which a call of this priority is refused, unless its customer is
// below its fair share. With two calls per slot, each waits for about one other.
constexpr double limit_low = 1.5;
constexpr double limit_normal = 2;
constexpr double limit_high = 3;
constexpr double limit_any_priority = 4; // all calls are refused

double priority_limit(plans::priority priority)
{
    switch (priority) {
    case plans::priority::low:
        return limit_low;
    case plans::priority::normal:
        return limit_normal;
    case plans::priority::high:
        return limit_high;
    }
    return limit_normal;
}

verdict refuse(refusal reason, duration wait, random_source& random)
{
    const double factor = 1 + uniform_unit(random);
    const auto bounded = static_cast<double>(std::min(wait, retry_after_max).count());
    return {reason, duration{static_cast<duration::rep>(bounded * factor)}};
}

// Calls per slot now: the last update from routing, adjusted by this host's own calls since then.
double current_calls_per_slot(const service_load& load)
{
    const double since =
        static_cast<double>(load.in_flight_) - static_cast<double>(load.in_flight_at_update_);
    return load.calls_per_slot_ + since / load.slots_;
}

bool exceeds_fair_share(const service_load& load, const account& own)
{
    const std::uint32_t customers = load.active_customers_ + (own.in_flight_ == 0 ? 1 : 0);
    const double fair = std::max(1.0, load.slots_ / customers);
    return own.in_flight_ + 1 > fair;
}

bool is_overloaded(const service_load& load, const account& own, plans::priority priority)
{
    if (load.slots_ <= 0) {
        return false;
    }
    const double calls_per_slot = current_calls_per_slot(load);
    if (calls_per_slot >= limit_any_priority) {
        return true;
    }
    return calls_per_slot >= priority_limit(priority) && exceeds_fair_share(load, own);
}

bool can_evict(account& idle, time_point now)
{
    refill(idle.bucket_, now);
    return idle.in_flight_ == 0 && idle.bucket_.tokens_ >= idle.bucket_.burst_;
}

void sweep(state& state, time_point now)
{
    auto at = state.accounts_.lower_bound(state.sweep_from_);
    for (int step = 0; step < sweep_steps && at != state.accounts_.end(); ++step) {
        at = can_evict(at->second, now) ? state.accounts_.erase(at) : std::next(at);
    }
    state.sweep_from_ =
        at == state.accounts_.end() ? std::pair<std::string, std::string>{} : at->first;
}

account& account_of(state& state, std::string_view customer, std::string_view service,
                    const found_limit& found, time_point now)
{
    std::pair<std::string, std::string> key{service, found.shared_ ? "" : customer};
    const auto [place, added] = state.accounts_.try_emplace(std::move(key));
    token_bucket& bucket = place->second.bucket_;
    if (added) {
        bucket.tokens_ = found.limit_.burst_calls_;
        bucket.filled_at_ = now;
    }
    refill(bucket, now);
    bucket.rate_ = found.limit_.calls_per_second_;
    bucket.burst_ = found.limit_.burst_calls_;
    bucket.tokens_ = std::min(bucket.tokens_, bucket.burst_);
    return place->second;
}

service_load& load_of(state& state, std::string_view service)
{
    const auto known = state.loads_.find(service);
    return known != state.loads_.end() ? known->second : state.loads_[std::string{service}];
}

// Ends one call of the account; false when it has none in flight.
bool end_call(state& state, std::string_view customer, std::string_view service)
{
    const auto found = state.accounts_.find(std::pair{std::string{service}, std::string{customer}});
    if (found == state.accounts_.end() || found->second.in_flight_ == 0) {
        return false;
    }
    service_load& load = load_of(state, service);
    --load.in_flight_;
    if (--found->second.in_flight_ == 0) {
        --load.active_customers_;
    }
    return true;
}

} // namespace

state make_state(double share)
{
    state made;
    made.share_ = share;
    return made;
}

void set_lists(state& state, const plans::lists& lists, time_point /*now*/)
{
    state.limits_ = make_limits(lists, state.share_);
    state.has_lists_ = true;
}

void set_load(state& state, std::string_view service, double calls_per_slot, double slots)
{
    service_load& load = load_of(state, service);
    load.calls_per_slot_ = calls_per_slot;
    load.slots_ = slots;
    load.in_flight_at_update_ = load.in_flight_;
}

verdict admit(state& state, std::string_view customer, std::string_view service, time_point now,
              random_source& random)
{
    if (!state.has_lists_) {
        return refuse(refusal::no_lists, retry_after_no_lists, random);
    }
    const auto found = find_limit(state.limits_, customer, service);
    if (!found) {
        return refuse(refusal::not_allowed, retry_after_not_allowed, random);
    }
    sweep(state, now);
    account& own = account_of(state, customer, service, *found, now);
    if (own.in_flight_ >= found->limit_.concurrency_) {
        return refuse(refusal::concurrency, retry_after_concurrency, random);
    }
    service_load& load = load_of(state, service);
    if (is_overloaded(load, own, found->limit_.priority_)) {
        return refuse(refusal::overload, retry_after_overload, random);
    }
    if (own.bucket_.tokens_ < 1) {
        return refuse(refusal::rate, time_to_token(own.bucket_), random);
    }
    own.bucket_.tokens_ -= 1;
    ++load.in_flight_;
    if (++own.in_flight_ == 1) {
        ++load.active_customers_;
    }
    return {};
}

void release(state& state, std::string_view customer, std::string_view service)
{
    if (!end_call(state, customer, service)) {
        end_call(state, "", service);
    }
}

} // namespace savoryscale::admission
