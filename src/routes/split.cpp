#include "routes/split.hpp"

#include <algorithm>
#include <numeric>

namespace savoryscale::routes {

namespace {

double sum_of_weights(std::span<const weighted_service> services)
{
    return std::accumulate(
        services.begin(), services.end(), 0.0,
        [](double sum, const weighted_service& service) { return sum + service.weight_; });
}

void reset_credits(split_state& split, std::span<const weighted_service> services,
                   random_source& random)
{
    split.weighted_services_.assign(services.begin(), services.end());
    split.credits_.clear();
    const double all = sum_of_weights(services);
    for (const weighted_service& service : services) {
        split.credits_.push_back(uniform_unit(random) * service.weight_ / std::max(all, 1e-9));
    }
}

} // namespace

std::size_t next_service(split_state& split, std::span<const weighted_service> services,
                         random_source& random)
{
    if (services.size() == 1) {
        return 0;
    }
    if (!std::equal(services.begin(), services.end(), split.weighted_services_.begin(),
                    split.weighted_services_.end())) {
        reset_credits(split, services, random);
    }
    const double all = std::max(sum_of_weights(services), 1e-9);
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        split.credits_[i] += services[i].weight_ / all;
        const bool usable = services[i].weight_ > 0;
        if (usable &&
            (services[chosen].weight_ <= 0 || split.credits_[i] > split.credits_[chosen])) {
            chosen = i;
        }
    }
    split.credits_[chosen] -= 1;
    return chosen;
}

} // namespace savoryscale::routes
