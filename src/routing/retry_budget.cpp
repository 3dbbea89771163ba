#include "routing/retry_budget.hpp"

#include <algorithm>

namespace savoryscale::routing {

void accrue_extra(retry_budget& budget)
{
    budget.extra_ = std::min(budget.extra_ + budget.ratio_, budget.extra_max_);
}

bool has_extra(const retry_budget& budget, double reserve)
{
    return budget.extra_ - (1 + budget.ratio_) >= reserve;
}

bool take_extra(retry_budget& budget, double reserve)
{
    if (!has_extra(budget, reserve)) {
        return false;
    }
    budget.extra_ -= 1 + budget.ratio_; // on its start it accrues ratio_ as well
    return true;
}

} // namespace savoryscale::routing
