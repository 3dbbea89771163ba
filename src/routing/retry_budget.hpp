#pragma once

// Bounds retries and hedges to a fraction of first attempts, so that they cannot multiply a
// failure.

namespace savoryscale::routing {

// Starts empty: extra attempts never exceed the fraction, from the first call on.
struct retry_budget {
    double ratio_ = 0;         // extra attempts per first attempt
    double extra_ = 0;         // extra attempts saved up
    double most_ = 20;         // that can be saved up
    double hedge_reserve_ = 2; // saved up for retries before hedges may take any
};

// Counts an attempt of any kind; an extra one has paid its part when it was taken.
void attempt_counted(retry_budget&);

// Takes one extra attempt while more than `reserve` is left after it; false when spent.
bool take_extra(retry_budget&, double reserve);

// Whether take_extra would succeed.
bool has_extra(const retry_budget&, double reserve);

} // namespace savoryscale::routing
