#include "membership/target_view.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace savoryscale::membership {

namespace {

// The version of a drain fact: the target's incarnation, followed by a count of publications.
constexpr unsigned publication_bits = 16;
constexpr std::uint64_t publication_mask = (std::uint64_t{1} << publication_bits) - 1;

// The target that a drain fact refers to, or nullptr; the subject is "service/ip:port".
known_target* find_subject(target_view& view, const std::string& subject, std::string& service)
{
    const std::size_t slash = subject.rfind('/');
    if (slash == std::string::npos) {
        return nullptr;
    }
    service = subject.substr(0, slash);
    const auto targets = view.services_.find(service);
    if (targets == view.services_.end()) {
        return nullptr;
    }
    const auto target = targets->second.find(subject.substr(slash + 1));
    return target == targets->second.end() ? nullptr : &target->second;
}

// The incarnation reported to routing. It never decreases.
std::uint64_t routing_incarnation(const known_target& target)
{
    return target.incarnation_ + target.expired_drains_;
}

bool is_draining(const known_target& target)
{
    return target.draining_ && target.drain_version_ >> publication_bits >= target.incarnation_;
}

void apply_listing(known_target& target, const store::listed_host& host)
{
    if (host.incarnation_ < target.incarnation_) {
        return; // an older copy of the list
    }
    target.listed_ = true;
    target.listed_leaving_ = host.leaving_;
    target.incarnation_ = host.incarnation_;
    target.data_centre_ = host.data_centre_;
}

bool same_infos(const std::vector<routing::target_info>& left,
                const std::vector<routing::target_info>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const routing::target_info& a, const routing::target_info& b) {
                          return a.address_ == b.address_ && a.data_centre_ == b.data_centre_ &&
                                 a.leaving_ == b.leaving_ && a.incarnation_ == b.incarnation_;
                      });
}

} // namespace

target_view make_target_view(const std::vector<settings::service>& services)
{
    target_view view;
    for (const settings::service& service : services) {
        service_targets& targets = view.services_[service.name_];
        view.changed_.insert(service.name_);
        for (const settings::static_target& each : service.targets_) {
            known_target& target = targets[to_string(each.address_)];
            target.address_ = each.address_;
            target.data_centre_ = each.data_centre_;
            target.static_ = true;
        }
    }
    return view;
}

void on_host_list(target_view& view, const std::vector<store::listed_host>& hosts)
{
    if (hosts.empty()) {
        return;
    }
    for (auto& [service, targets] : view.services_) {
        const std::vector<routing::target_info> before = targets_of(view, service);
        for (auto& [name, target] : targets) {
            target.listed_ = false;
        }
        for (const store::listed_host& host : hosts) {
            if (host.kind_ == store::host_kind::target && host.service_ == service) {
                known_target& target = targets[to_string(host.address_)];
                target.address_ = host.address_;
                apply_listing(target, host);
            }
        }
        if (!same_infos(before, targets_of(view, service))) {
            view.changed_.insert(service);
        }
    }
}

void on_drain_fact(target_view& view, const peer::fact& drain)
{
    std::string service;
    known_target* target = find_subject(view, drain.subject_, service);
    if (target != nullptr && drain.version_ >= target->drain_version_) {
        target->drain_version_ = drain.version_;
        target->draining_ = true;
        view.changed_.insert(service);
    }
}

void on_drain_expired(target_view& view, const peer::fact& drain)
{
    std::string service;
    known_target* target = find_subject(view, drain.subject_, service);
    if (target == nullptr || !target->draining_ || drain.version_ < target->drain_version_) {
        return;
    }
    if (is_draining(*target)) {
        ++target->expired_drains_;
    }
    target->draining_ = false;
    view.changed_.insert(service);
}

std::optional<peer::fact> on_drain_seen(target_view& view, const std::string& service,
                                        const settings::endpoint& address,
                                        std::uint64_t incarnation, time_point now)
{
    const std::string subject = fmt::format("{}/{}", service, to_string(address));
    std::string found;
    known_target* target = find_subject(view, subject, found);
    if (target == nullptr || incarnation < routing_incarnation(*target)) {
        return {};
    }
    const auto republish_after = std::chrono::seconds{drain_lifetime_s} / 2;
    if (is_draining(*target) && now - target->drain_published_ < republish_after) {
        return {};
    }
    const bool same = target->drain_version_ >> publication_bits == target->incarnation_;
    const std::uint64_t publications = same ? (target->drain_version_ & publication_mask) + 1 : 1;
    target->drain_version_ =
        target->incarnation_ << publication_bits | std::min(publications, publication_mask);
    target->draining_ = true;
    target->drain_published_ = now;
    view.changed_.insert(service);
    return peer::fact{peer::fact_kind::target_drain, subject, target->drain_version_, "",
                      drain_lifetime_s};
}

std::vector<routing::target_info> targets_of(const target_view& view, std::string_view service)
{
    std::vector<routing::target_info> infos;
    const auto targets = view.services_.find(std::string{service});
    if (targets == view.services_.end()) {
        return infos;
    }
    for (const auto& [name, target] : targets->second) {
        if (!target.static_ && !target.listed_) {
            continue;
        }
        const bool leaving = (target.listed_ && target.listed_leaving_) || is_draining(target);
        infos.push_back(
            {target.address_, target.data_centre_, leaving, routing_incarnation(target)});
    }
    return infos;
}

} // namespace savoryscale::membership
