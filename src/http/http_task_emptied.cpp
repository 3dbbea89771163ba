// The part of the HTTP task that passes the data centres to be emptied to routing, and publishes
// what still goes there.

#include "http/http_task.hpp"
#include "routing/service_view.hpp"
#include "telemetry/trace.hpp"

#include <utility>

namespace savoryscale::http {

namespace {

constexpr double ns_per_second = 1e9;

// This host's requests in flight at targets in the data centre.
double requests_in(const service_state& service, const std::string& data_centre)
{
    double requests = 0;
    for (const routing::target_state& target : service.view_.targets_) {
        requests += target.info_.data_centre_ == data_centre ? target.in_flight_ : 0;
    }
    return requests;
}

} // namespace

void http_task::set_emptied(std::vector<std::string> data_centres)
{
    std::map<std::string, emptied_gauges> before = std::exchange(emptied_, {});
    for (const std::string& name : data_centres) {
        if (auto known = before.extract(name)) {
            emptied_.insert(std::move(known));
            continue;
        }
        const emptied_gauges gauges{
            &metrics_.data_centre_emptied_since_.Add({{"data_centre", name}}),
            &metrics_.data_centre_emptied_requests_.Add({{"data_centre", name}})};
        gauges.since_->Set(static_cast<double>(telemetry::wall_clock_ns()) / ns_per_second);
        emptied_.emplace(name, gauges);
    }
    for (const auto& [name, gauges] : before) {
        metrics_.data_centre_emptied_since_.Remove(gauges.since_);
        metrics_.data_centre_emptied_requests_.Remove(gauges.requests_);
    }
    for (const auto& service : services_) {
        routing::set_emptied(service->view_, data_centres, loop_.now());
    }
    publish_emptied();
}

void http_task::publish_emptied()
{
    for (const auto& [name, gauges] : emptied_) {
        double requests = 0;
        for (const auto& service : services_) {
            requests += requests_in(*service, name);
        }
        gauges.requests_->Set(requests);
    }
}

std::vector<std::string> http_task::emptied_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, gauges] : emptied_) {
        names.push_back(name);
    }
    return names;
}

} // namespace savoryscale::http
