#include "routes/split.hpp"

#include <algorithm>
#include <numeric>

namespace savoryscale::routes {

namespace {

double sum_of_weights(std::span<const route_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), 0.0,
                           [](double sum, const route_part& part) { return sum + part.weight_; });
}

void reset_credits(split_state& split, std::span<const route_part> parts, random_source& random)
{
    split.parts_.assign(parts.begin(), parts.end());
    split.credits_.clear();
    const double all = sum_of_weights(parts);
    for (const route_part& part : parts) {
        split.credits_.push_back(uniform_unit(random) * part.weight_ / std::max(all, 1e-9));
    }
}

} // namespace

std::size_t next_part(split_state& split, std::span<const route_part> parts, random_source& random)
{
    if (parts.size() == 1) {
        return 0;
    }
    if (!std::equal(parts.begin(), parts.end(), split.parts_.begin(), split.parts_.end())) {
        reset_credits(split, parts, random);
    }
    const double all = std::max(sum_of_weights(parts), 1e-9);
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        split.credits_[i] += parts[i].weight_ / all;
        const bool usable = parts[i].weight_ > 0;
        if (usable && (parts[chosen].weight_ <= 0 || split.credits_[i] > split.credits_[chosen])) {
            chosen = i;
        }
    }
    split.credits_[chosen] -= 1;
    return chosen;
}

} // namespace savoryscale::routes
