// The part of the HTTP task that handles the limits that targets name.

#include "http/http_task.hpp"
#include "http/load_fields.hpp"
#include "http/log_fields.hpp"
#include "telemetry/log.hpp"

#include <chrono>
#include <map>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// Minimum interval between log lines about limits that cannot be read.
constexpr duration invalid_limit_log_interval = 10s;

} // namespace

const routing::target_limit* http_task::limit_of(const service_state& service,
                                                 routing::target_index target)
{
    const auto& known = service.view_.targets_[target].limit_;
    return known ? &*known : nullptr;
}

void http_task::on_limit_field(service_state& service, routing::target_index target,
                               const answer_head& head, routing::limit_source source)
{
    const limit_field field = read_limit(head, config_.header_names_.limit_);
    const time_point now = loop_.now();
    if (field.reading_ == limit_reading::invalid) {
        if (now - invalid_limit_logged_at_ >= invalid_limit_log_interval) {
            invalid_limit_logged_at_ = now;
            telemetry::state_change("target_limit_refused",
                                    {{"service", service.config_.name_},
                                     {"target", target_name(service, target)},
                                     {"why", "the limit is not a decimal number in range"}},
                                    telemetry::severity::warning);
        }
        return;
    }
    std::optional<routing::target_limit>& known = service.view_.targets_[target].limit_;
    const std::string before = known ? log_limit(*known) : "";
    const auto named =
        field.reading_ == limit_reading::valid ? std::optional{field.per_second_} : std::nullopt;
    if (routing::on_limit_heard(known, named, source, now)) {
        telemetry::state_change(
            "target_limit_changed",
            {{"service", service.config_.name_},
             {"target", target_name(service, target)},
             {"per_second", known ? log_limit(*known) : ""},
             {"before", before},
             {"from", source == routing::limit_source::probe ? "probe" : "answer"}});
    }
}

// Publishes the limits known now, and removes those that have been withdrawn.
void http_task::publish_limits()
{
    const time_point now = loop_.now();
    std::map<std::string, limit_gauges> before = std::exchange(limit_gauges_, {});
    for (const auto& service : services_) {
        auto& targets = service->view_.targets_;
        for (routing::target_index index = 0; index < targets.size(); ++index) {
            if (!targets[index].limit_ || !targets[index].listed_) {
                continue;
            }
            const std::string target = to_string(targets[index].info_.address_);
            auto known = before.extract(target);
            limit_gauges gauges =
                known ? known.mapped()
                      : limit_gauges{&metrics_.target_limits_.Add({{"target", target}}),
                                     &metrics_.target_limit_ages_.Add({{"target", target}}),
                                     &metrics_.target_limit_granted_.Add({{"target", target}})};
            gauges.per_second_->Set(targets[index].limit_->per_second_);
            gauges.age_->Set(
                std::chrono::duration<double>(now - targets[index].limit_->heard_at_).count());
            gauges.granted_->Set(std::exchange(targets[index].granted_, 0));
            limit_gauges_.emplace(target, gauges);
        }
    }
    for (const auto& [target, gauges] : before) {
        metrics_.target_limits_.Remove(gauges.per_second_);
        metrics_.target_limit_ages_.Remove(gauges.age_);
        metrics_.target_limit_granted_.Remove(gauges.granted_);
    }
}

} // namespace savoryscale::http
