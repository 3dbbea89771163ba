#include "admission/recent_runs.hpp"

namespace savoryscale::admission {

void on_run_completed(recent_runs& runs, fingerprint request, time_point now)
{
    runs.slots_[request % runs.slots_.size()] = {request, now};
}

bool has_completed_recently(const recent_runs& runs, fingerprint request, time_point now)
{
    const recent_run& run = runs.slots_[request % runs.slots_.size()];
    return run.request_ == request && now - run.completed_at_ < recent_run_lifetime;
}

bool clear_if_run_recently(quarantine& quarantine, const recent_runs& runs, fingerprint request,
                           time_point now)
{
    return has_completed_recently(runs, request, now) && clear_suspect(quarantine, request);
}

} // namespace savoryscale::admission
