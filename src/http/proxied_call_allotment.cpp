// The part of a call that checks whether its organisation has something left of its allotment. A
// request that another host hands on has been counted there.

#include "http/caller_connection.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "http/proxied_call.hpp"
#include "telemetry/log.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace savoryscale::http {

void proxied_call::check_allotment()
{
    if (organisation_ == nullptr || is_relayed()) {
        on_allotment_decided({});
        return;
    }
    const std::uint64_t waiting = http_task_.allotments().check(
        *organisation_, [this](const organisations::use_decision& decided) {
            allotment_check_ = 0;
            on_allotment_decided(decided);
        });
    allotment_check_ = waiting;
}

void proxied_call::on_allotment_decided(const organisations::use_decision& decided)
{
    if (decided.verdict_ == organisations::use_verdict::passed) {
        allotted_ = true;
        start_allotted();
        dispatch_when_ready();
        return;
    }
    // Callers who were refused together return apart.
    const duration spread{static_cast<std::int64_t>(
        uniform_unit(http_task_.random()) * static_cast<double>(decided.return_time_.count()))};
    telemetry::decided("allotment_refused", request_id_,
                       {{"organisation", organisation_->name_},
                        {"by", std::string{to_string(decided.by_)}},
                        {"wait_ms", log_ms(decided.wait_)}});
    refuse(
        admission::send_verdict{admission::refusal_cause::over_allotment, decided.wait_ + spread});
}

// Requests that do not run take nothing of the allotment.
void proxied_call::give_back_allotment()
{
    if (std::exchange(allotted_, false) && organisation_ != nullptr && !is_relayed()) {
        http_task_.allotments().give_back(*organisation_);
    }
}

} // namespace savoryscale::http
