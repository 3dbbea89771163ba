#include "store/call_gate.hpp"

#include <algorithm>

namespace savoryscale::store {

namespace {

// Doublings after which the backoff no longer grows.
constexpr std::uint32_t max_backoff_doublings = 16;

} // namespace

call_gate make_call_gate(const call_gate_options& options, time_point now)
{
    call_gate gate;
    gate.options_ = options;
    gate.tokens_ = options.calls_per_second_;
    gate.filled_ = now;
    gate.closed_until_ = now;
    return gate;
}

bool admit(call_gate& gate, time_point now)
{
    const double rate = gate.options_.calls_per_second_;
    const std::chrono::duration<double> passed = now - gate.filled_;
    gate.tokens_ = std::min(rate, gate.tokens_ + rate * passed.count());
    gate.filled_ = now;
    if (now < gate.closed_until_ || gate.tokens_ < 1) {
        return false;
    }
    gate.tokens_ -= 1;
    return true;
}

void note_result(call_gate& gate, bool answered, time_point now, random_source& random)
{
    if (answered) {
        gate.failures_ = 0;
        return;
    }
    ++gate.failures_;
    if (gate.failures_ < 2) {
        return;
    }
    const auto doublings = std::min(gate.failures_ - 2, max_backoff_doublings);
    const duration ceiling = std::min(gate.options_.backoff_max_,
                                      gate.options_.backoff_min_ * (std::int64_t{1} << doublings));
    const auto half = static_cast<std::uint64_t>(ceiling.count() / 2);
    const duration wait{static_cast<std::int64_t>(half + uniform_below(random, half + 1))};
    gate.closed_until_ = std::max(gate.closed_until_, now + wait);
}

} // namespace savoryscale::store
