#pragma once

// Bounds extra attempts (retries and hedges) to a fraction of first attempts, so that they cannot
// amplify a failure.

namespace savoryscale::routing {

// Starts empty: extra attempts never exceed the fraction, from the first call on.
struct retry_budget {
    double ratio_ = 0;         // extra attempts per first attempt
    double extra_ = 0;         // extra attempts saved
    double extra_max_ = 20;    // extra attempts that can be saved
    double hedge_reserve_ = 2; // reserved for retries; hedges may not take it
};

// Accrues ratio_ for an attempt of any kind; take_extra deducts what an extra attempt accrues.
void accrue_extra(retry_budget&);

// Takes one extra attempt if at least `reserve` is left after it; false otherwise.
bool take_extra(retry_budget&, double reserve);

// Whether take_extra would succeed.
bool has_extra(const retry_budget&, double reserve);

} // namespace savoryscale::routing
