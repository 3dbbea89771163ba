#include "routing/target_limit.hpp"

namespace savoryscale::routing {

bool on_limit_heard(std::optional<target_limit>& known, std::optional<double> per_second,
                    limit_source source, time_point now)
{
    if (!per_second) {
        // A target may name its limit in answers to requests only.
        const bool withdrawn = known && (source == limit_source::request || known->in_probes_);
        if (withdrawn) {
            known.reset();
        }
        return withdrawn;
    }
    const bool in_probes = source == limit_source::probe || (known && known->in_probes_);
    if (known && known->per_second_ == *per_second) {
        known->heard_at_ = now;
        known->in_probes_ = in_probes;
        return false;
    }
    known = target_limit{*per_second, now, now, in_probes};
    return true;
}

} // namespace savoryscale::routing
