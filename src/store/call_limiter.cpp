#include "store/call_limiter.hpp"

#include "base/backoff.hpp"

#include <algorithm>

namespace savoryscale::store {

call_limiter make_call_limiter(const call_limiter_options& options, time_point now)
{
    call_limiter limiter;
    limiter.options_ = options;
    limiter.tokens_ = options.calls_per_second_;
    limiter.refilled_at_ = now;
    limiter.backoff_until_ = now;
    return limiter;
}

bool admit(call_limiter& limiter, time_point now)
{
    const double rate = limiter.options_.calls_per_second_;
    const std::chrono::duration<double> passed = now - limiter.refilled_at_;
    limiter.tokens_ = std::min(rate, limiter.tokens_ + rate * passed.count());
    limiter.refilled_at_ = now;
    if (now < limiter.backoff_until_ || limiter.tokens_ < 1) {
        return false;
    }
    limiter.tokens_ -= 1;
    return true;
}

void record_result(call_limiter& limiter, bool answered, time_point now, random_source& random)
{
    if (answered) {
        limiter.consecutive_failures_ = 0;
        return;
    }
    ++limiter.consecutive_failures_;
    if (limiter.consecutive_failures_ < 2) {
        return;
    }
    const duration wait = backoff(limiter.options_.backoff_min_, limiter.options_.backoff_max_,
                                  limiter.consecutive_failures_ - 2, random);
    limiter.backoff_until_ = std::max(limiter.backoff_until_, now + wait);
}

} // namespace savoryscale::store
