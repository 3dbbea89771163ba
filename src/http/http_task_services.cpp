// The part of the HTTP task that manages services, their targets and the connections to the
// targets.

#include "admission/target_name.hpp"
#include "http/http_task.hpp"
#include "routing/policy.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savoryscale::http {

namespace {

std::string target_name_of(const routing::target_info& info)
{
    return fmt::format("{}/{}", to_string(info.address_), info.incarnation_);
}

// Incarnations are counted by each host for itself; ids and start times are the same on all hosts.
std::string shared_target_name_of(const routing::target_info& info)
{
    if (info.id_.empty()) {
        return target_name_of(info);
    }
    return admission::shared_target_name(to_string(info.address_), info.id_, info.born_ms_);
}

} // namespace

service_state& http_task::add_service(settings::service config)
{
    auto owned = std::make_unique<service_state>();
    service_state& state = *owned;
    state.config_ = std::move(config);
    const settings::service& service = state.config_;
    state.view_ = routing::make_view(
        service, config_.host_.data_centre_,
        routing::policy_named(service.policy_).value_or(routing::policy::least_wait));
    state.connection_cap_ =
        std::max(1U, service.connections_per_target_ / config_.host_.hosts_max_);
    if (config_.directory_) {
        state.view_.own_id_ = config_.host_.id_;
        state.view_.subset_max_ = config_.directory_->subset_targets_;
        state.placement_budget_.probes_per_target_ = config_.directory_->probes_per_target_;
        limit_extra_attempts(state);
    }
    routing::set_emptied(state.view_, emptied_names(), loop_.now());
    state.probes_share_ = 1.0 * service.probes_per_second_ / config_.host_.hosts_max_;
    state.probe_bytes_share_ = 1.0 * service.probe_bytes_per_second_ / config_.host_.hosts_max_;
    apply_probe_share(state);
    services_.push_back(std::move(owned));
    return state;
}

void http_task::set_desired_state(routes::desired_state state)
{
    if (routes_ && state.version_ <= routes_->state_.version_) {
        return;
    }
    for (const routes::routed_service& each : state.services_) {
        service_state* known = find_service(each.name_);
        if (known == nullptr) {
            known = &add_directory_service(each.name_, each.connections_per_target_);
        }
        known->config_.probe_path_ = each.probe_path_;
        set_cold(*known, each);
    }
    limits_ = state.limits_;
    routes_ = std::make_shared<routes::table>(routes::make_table(std::move(state)));
    allotments_.set_allotments(routes_->keys_ ? routes_->keys_->organisations_
                                              : std::vector<organisations::organisation>{});
}

bool http_task::has_outdated_keys() const
{
    if (!config_.directory_ || config_.directory_->keys_age_max_ <= settings::seconds::zero() ||
        !confirmed_at_) {
        return false;
    }
    const auto confirmed = confirmed_at_();
    return !confirmed || loop_.now() - *confirmed > config_.directory_->keys_age_max_;
}

// A service that is not in the directory yet is added without targets, so its requests are refused.
service_state& http_task::service_of(const routes::route& chosen)
{
    const std::size_t picked =
        routes::next_service(splits_[chosen.name_], chosen.weighted_services_, random_);
    const std::string& name = chosen.weighted_services_[picked].service_;
    service_state* known = find_service(name);
    return known != nullptr
               ? *known
               : add_directory_service(name, config_.directory_->service_.connections_per_target_);
}

service_state& http_task::add_directory_service(const std::string& name, std::uint32_t connections)
{
    settings::service config = config_.directory_->service_;
    config.name_ = name;
    config.connections_per_target_ = connections;
    return add_service(std::move(config));
}

// Merges the targets of the settings and of the host list, and closes the idle connections to those
// that are leaving or were replaced.
void http_task::apply_targets(service_state& service)
{
    std::vector<routing::target_info> all = service.listed_;
    for (const settings::static_target& target : service.config_.targets_) {
        const bool listed = std::any_of(all.begin(), all.end(), [&](const auto& info) {
            return info.address_ == target.address_;
        });
        if (!listed) {
            routing::target_info added;
            added.address_ = target.address_;
            added.data_centre_ = target.data_centre_;
            all.push_back(std::move(added));
        }
    }
    routing::update_targets(service.view_, all, loop_.now());
    service.target_count_ = static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& info) { return !info.leaving_; }));
    for (auto& [index, connections] : service.targets_) {
        const settings::endpoint& address = routing::address_of(service.view_, index);
        const auto info = std::find_if(all.begin(), all.end(), [&](const auto& candidate) {
            return candidate.address_ == address;
        });
        const bool gone = info == all.end();
        std::string name = gone ? std::string{} : target_name_of(*info);
        if (name != connections.name_) {
            if (!connections.leaving_) {
                on_target_replaced(connections);
            }
            connections.leaving_ = gone;     // reported once
            connections.pool_->close_idle(); // they lead to the previous server at this address
        }
        if (gone) {
            continue;
        }
        if (info->leaving_) {
            connections.leaving_ = true;
            connections.pool_->close_idle();
        }
        connections.shared_name_ = shared_target_name_of(*info);
        connections.name_ = std::move(name);
    }
}

target_connections& http_task::connections_of(service_state& service, routing::target_index target)
{
    target_connections& connections = service.targets_[target];
    if (connections.pool_ == nullptr) {
        const settings::endpoint& address = routing::address_of(service.view_, target);
        connections.pool_ = std::make_unique<connection_pool>(loop_, address, service.config_.tls_,
                                                              service.connection_cap_);
        if (config_.header_names_.caller_sets_request_id_) {
            connections.pool_->trust_answer_ids();
        }
        const auto info =
            std::find_if(service.listed_.begin(), service.listed_.end(),
                         [&](const auto& candidate) { return candidate.address_ == address; });
        routing::target_info unlisted;
        unlisted.address_ = address;
        const routing::target_info& known = info == service.listed_.end() ? unlisted : *info;
        connections.name_ = target_name_of(known);
        connections.shared_name_ = shared_target_name_of(known);
    }
    return connections;
}

connection_pool& http_task::pool_of(service_state& service, routing::target_index target)
{
    return *connections_of(service, target).pool_;
}

const std::string& http_task::target_name(service_state& service, routing::target_index target)
{
    return connections_of(service, target).name_;
}

} // namespace savoryscale::http
