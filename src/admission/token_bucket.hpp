#pragma once

// A rate limit with a burst.

#include "base/clock.hpp"

#include <algorithm>

namespace savoryscale::admission {

// Set rate_ and burst_ before use; the owner fills a new bucket.
struct token_bucket {
    double rate_ = 0;  // tokens per second
    double burst_ = 0; // maximum number of tokens
    double tokens_ = 0;
    time_point filled_at_{};
};

// Adds the tokens accrued since the last call.
inline void refill(token_bucket& bucket, time_point now)
{
    const std::chrono::duration<double> passed = now - bucket.filled_at_;
    if (passed.count() > 0) {
        bucket.tokens_ = std::min(bucket.burst_, bucket.tokens_ + passed.count() * bucket.rate_);
        bucket.filled_at_ = now;
    }
}

// Time until one token is available; duration::max() when the rate is zero.
inline duration time_to_token(const token_bucket& bucket)
{
    if (bucket.tokens_ >= 1) {
        return duration::zero();
    }
    if (bucket.rate_ <= 0) {
        return duration::max();
    }
    const double seconds = (1 - bucket.tokens_) / bucket.rate_;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

} // namespace savoryscale::admission
