// The part of the HTTP task that hears from targets how long they stay cold.

#include "http/http_task.hpp"
#include "http/load_fields.hpp"
#include "http/log_fields.hpp"
#include "routing/cold_targets.hpp"
#include "telemetry/log.hpp"

namespace savoryscale::http {

void http_task::set_cold(service_state& service, const routes::routed_service& named)
{
    routing::set_cold(
        service.view_, named.warm_up_,
        routing::cold_rate(config_.directory_->cold_, named.cold_per_second_, grants_.parts()));
}

// Heeded only where the service names a rate for cold targets.
void http_task::on_warm_up_field(service_state& service, routing::target_index target,
                                 const answer_head& head)
{
    const std::string& name = config_.header_names_.warm_up_;
    if (name.empty() || service.view_.cold_per_second_ <= 0) {
        return;
    }
    const auto left = read_warm_up(head, name);
    if (routing::on_warm_up_heard(service.view_.targets_[target], left, loop_.now())) {
        telemetry::state_change("target_cold",
                                {{"service", service.config_.name_},
                                 {"target", target_name(service, target)},
                                 {"for_ms", log_ms(left.value_or(duration::zero()))},
                                 {"per_second", std::to_string(service.view_.cold_per_second_)}});
    }
}

} // namespace savoryscale::http
