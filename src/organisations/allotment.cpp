#include "organisations/allotment.hpp"

#include <xxhash.h>

namespace savoryscale::organisations {

name_hash hash_of_name(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

double spare_of(const allotment& limit, const settings::allotment_bounds& bounds)
{
    return (limit.per_second_ * bounds.window_.count() + limit.burst_) * bounds.overage_ +
           bounds.slack_;
}

} // namespace savoryscale::organisations
