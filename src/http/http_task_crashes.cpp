// The part of the HTTP task that recognises crashes of targets and the requests that cause them.

#include "http/connection_pool.hpp"
#include "http/explanation.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "peer/allotment_wire.hpp"
#include "peer/grant_wire.hpp"
#include "peer/suspicion_wire.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// The connections of a host that is cut off break within this time.
constexpr duration cut_settle_time = 10ms;

// An answer that arrives sooner after a cut may have been sent before it.
constexpr duration answer_transit_max = 5ms;

// Other targets asked whether this host can still open connections, when one refuses them.
constexpr std::size_t witnesses_max = 3;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

} // namespace

void http_task::set_feed_hosts(std::span<const settings::endpoint> hosts)
{
    const settings::endpoint& own = config_.directory_->feed_->address_;
    serves_hosts_ = std::find(hosts.begin(), hosts.end(), own) != hosts.end();
    grants_.set_granters(hosts, own);
    allotments_.set_granters(hosts, own);
    suspicion_reports_.set_hosts(hosts, own);
    relay_hosts_.set_feed_hosts(hosts);
}

page http_task::answer_peer(std::string_view path)
{
    if (const auto asked = read_explain_path(path)) {
        return {status_ok, "application/json", explain(*this, *asked)};
    }
    if (path.starts_with(peer::grant_path_prefix)) {
        return grants_.answer(path);
    }
    if (path.starts_with(peer::allotment_path_prefix)) {
        return allotments_.answer(path);
    }
    if (!path.starts_with(peer::suspicions_path_prefix)) {
        return {status_not_found, "text/plain", "no such page\n"};
    }
    const auto suspicions = peer::read_suspicions_path(path);
    if (!suspicions) {
        return {status_bad_request, "text/plain", to_string(suspicions.error()) + "\n"};
    }
    for (const admission::fingerprint changed : receive_suspicions(*suspicions)) {
        if (serves_hosts_) {
            suspicion_reports_.report(changed);
        }
    }
    return {status_ok, "text/plain", suspicions->empty() ? known_suspicions() : ""};
}

std::string http_task::known_suspicions() const
{
    const time_point now = loop_.now();
    std::vector<peer::fact> known;
    for (const admission::fingerprint request : admission::suspects_at(quarantine_, now)) {
        known.push_back(admission::shared_suspicion_of(quarantine_, request, now));
    }
    return peer::write_suspicions(known, peer::suspicions_answer_max);
}

std::vector<admission::fingerprint>
http_task::receive_suspicions(std::span<const peer::fact> suspicions)
{
    std::vector<admission::fingerprint> changed;
    for (const peer::fact& each : suspicions) {
        const auto request = admission::fingerprint_of(each);
        if (merge_suspicion(each) && request) {
            changed.push_back(*request);
            share_suspicion(*request);
        }
    }
    return changed;
}

bool http_task::merge_suspicion(const peer::fact& suspicion)
{
    const auto merged = admission::merge(quarantine_, suspicion, loop_.now());
    if (!merged || *merged) {
        metrics_.suspects_.Set(static_cast<double>(quarantine_.suspects_.size()));
        telemetry::decided("suspicion_received", {},
                           {{"fingerprint", suspicion.subject_},
                            {"crashes", suspicion.payload_},
                            {"outcome", merged ? "merged" : to_string(merged.error())}});
    }
    const auto request = admission::fingerprint_of(suspicion);
    if (merged && *merged && request &&
        admission::clear_if_run_recently(quarantine_, recent_runs_, *request, loop_.now())) {
        publish_suspicions({*request});
    }
    return merged && *merged;
}

// A connection could not be opened. If a connection to the target has just broken with a request in
// flight, the target has crashed.
void http_task::on_connection_refused(service_state& service, routing::target_index target)
{
    const target_connections& connections = connections_of(service, target);
    if (!connections.broken_requests_.empty() && !connections.witnesses_asked_) {
        on_crash_checked(service, target, false);
    }
}

// A connection broke with a request in flight. Opens a new connection to find out whether the
// target has crashed; until the result is known, the request counts as running there.
void http_task::on_connection_broken(service_state& service, routing::target_index target,
                                     const admission::request_fingerprints& request)
{
    target_connections& connections = connections_of(service, target);
    if (connections.broken_requests_.empty()) {
        connections.broken_at_ = loop_.now();
    }
    connections.broken_requests_.push_back(request);
    if (std::exchange(connections.check_in_progress_, true)) {
        return;
    }
    connections.pool_->check(
        [this, &service, target](bool accepts) { on_crash_checked(service, target, accepts); });
}

// A host that is cut off from its targets sees what it would see if they crashed. So a crash counts
// only if another target has answered since, or accepts a connection.
void http_task::on_crash_checked(service_state& service, routing::target_index target, bool accepts)
{
    target_connections& connections = connections_of(service, target);
    if (connections.witnesses_asked_ || connections.broken_requests_.empty()) {
        return;
    }
    if (accepts) {
        end_crash_check(service, target, crash_verdict::alive);
        return;
    }
    connections.witnesses_asked_ = true;
    loop_.after(cut_settle_time, [this, &service, target] {
        if (heard_at_ >= connections_of(service, target).broken_at_ + answer_transit_max) {
            end_crash_check(service, target, crash_verdict::crashed);
        }
        else {
            ask_witnesses(service, target);
        }
    });
}

void http_task::ask_witnesses(service_state& service, routing::target_index target)
{
    const witness_choice choice = choose_witnesses(service, target);
    if (choice.pools_.empty()) {
        end_crash_check(service, target,
                        choice.others_broken_ ? crash_verdict::cut_off : crash_verdict::crashed);
        return;
    }
    const auto pending = std::make_shared<std::size_t>(choice.pools_.size());
    for (connection_pool* witness : choice.pools_) {
        witness->check([this, &service, target, pending](bool accepts) {
            if (*pending == 0) {
                return; // decided by another witness
            }
            --*pending;
            if (accepts) {
                *pending = 0;
                end_crash_check(service, target, crash_verdict::crashed);
            }
            else if (*pending == 0) {
                end_crash_check(service, target, crash_verdict::cut_off);
            }
        });
    }
}

// Random targets of any service that have not just broken a connection themselves.
http_task::witness_choice http_task::choose_witnesses(const service_state& service,
                                                      routing::target_index target)
{
    witness_choice choice;
    std::vector<std::pair<service_state*, routing::target_index>> others;
    for (const auto& each : services_) {
        const auto& targets = each->view_.targets_;
        for (routing::target_index index = 0; index < targets.size(); ++index) {
            const auto known = each->targets_.find(index);
            const bool broken =
                known != each->targets_.end() && !known->second.broken_requests_.empty();
            const bool itself = each.get() == &service && index == target;
            if (!targets[index].listed_ || itself) {
                continue;
            }
            if (broken) {
                choice.others_broken_ = true;
            }
            else {
                others.emplace_back(each.get(), index);
            }
        }
    }
    while (!others.empty() && choice.pools_.size() < witnesses_max) {
        const std::size_t at = uniform_below(random_, others.size());
        choice.pools_.push_back(connections_of(*others[at].first, others[at].second).pool_.get());
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return choice;
}

void http_task::end_crash_check(service_state& service, routing::target_index target,
                                crash_verdict verdict)
{
    target_connections& connections = connections_of(service, target);
    connections.check_in_progress_ = false;
    connections.witnesses_asked_ = false;
    const auto broken = std::exchange(connections.broken_requests_, {});
    if (verdict == crash_verdict::crashed) {
        telemetry::state_change(
            "target_crashed", {{"service", service.config_.name_}, {"target", connections.name_}});
        raise_suspicions(admission::on_target_crashed(quarantine_, connections.name_, loop_.now(),
                                                      connections.shared_name_));
    }
    else if (verdict == crash_verdict::cut_off) {
        telemetry::state_change(
            "crash_not_counted",
            {{"service", service.config_.name_},
             {"target", connections.name_},
             {"why", "other targets do not accept connections from this host either"}});
    }
    for (const admission::request_fingerprints& request : broken) {
        for (const admission::fingerprint each : {request.caller_, request.content_}) {
            admission::on_request_unanswered(quarantine_, each, connections.name_, loop_.now());
            admission::on_request_ended(quarantine_, each, connections.name_, false);
        }
    }
}

bool http_task::is_crash_checked(const service_state& service, routing::target_index target,
                                 const admission::request_fingerprints& request) const
{
    const auto known = service.targets_.find(target);
    if (known == service.targets_.end()) {
        return true;
    }
    const auto& broken = known->second.broken_requests_;
    return std::find(broken.begin(), broken.end(), request) == broken.end();
}

// Another server has taken the place of a target that had not announced that it would leave.
void http_task::on_target_replaced(const target_connections& before)
{
    raise_suspicions(
        admission::on_target_replaced(quarantine_, before.name_, loop_.now(), before.shared_name_));
}

void http_task::on_upstream_request_sent(const admission::request_fingerprints& request,
                                         std::string_view target)
{
    using admission::suspect_scope;
    const time_point now = loop_.now();
    admission::on_request_sent(quarantine_, request.caller_, target, now, suspect_scope::caller);
    admission::on_request_sent(quarantine_, request.content_, target, now, suspect_scope::content);
}

void http_task::on_upstream_request_ended(const admission::request_fingerprints& request,
                                          std::string_view target, upstream_end end)
{
    const bool completed = end == upstream_end::completed;
    if (completed) {
        admission::on_run_completed(recent_runs_, request.content_, loop_.now());
    }
    for (const admission::fingerprint each : {request.caller_, request.content_}) {
        if (end == upstream_end::unanswered) {
            admission::on_request_unanswered(quarantine_, each, target, loop_.now());
        }
        if (admission::on_request_ended(quarantine_, each, target, completed)) {
            publish_suspicions({each});
        }
    }
}

bool http_task::is_quarantined(const admission::request_fingerprints& request) const
{
    return admission::is_quarantined(quarantine_, request.caller_, loop_.now()) ||
           admission::is_quarantined(quarantine_, request.content_, loop_.now());
}

duration http_task::refusal_left(const admission::request_fingerprints& request) const
{
    return std::max(admission::refusal_left(quarantine_, request.caller_, loop_.now()),
                    admission::refusal_left(quarantine_, request.content_, loop_.now()));
}

void http_task::raise_suspicions(const std::vector<admission::fingerprint>& requests)
{
    for (const admission::fingerprint request : requests) {
        admission::clear_if_run_recently(quarantine_, recent_runs_, request, loop_.now());
    }
    publish_suspicions(requests);
}

void http_task::publish_suspicions(const std::vector<admission::fingerprint>& requests)
{
    metrics_.suspects_.Set(static_cast<double>(quarantine_.suspects_.size()));
    for (const admission::fingerprint request : requests) {
        const peer::fact known = admission::suspicion_of(quarantine_, request);
        telemetry::decided(
            "suspicion_changed", {},
            {{"fingerprint", known.subject_},
             {"crashes", known.payload_},
             {"refused",
              admission::is_quarantined(quarantine_, request, loop_.now()) ? "yes" : "no"}});
        share_suspicion(request);
        suspicion_reports_.report(request);
    }
}

// Passes the suspicion to the tasks that bring it to other hosts.
void http_task::share_suspicion(admission::fingerprint request)
{
    if (!events_.on_suspicion_) {
        return;
    }
    if (!config_.directory_) {
        events_.on_suspicion_(admission::suspicion_of(quarantine_, request));
        return;
    }
    events_.on_suspicion_(admission::shared_suspicion_of(quarantine_, request, loop_.now()));
}

} // namespace savoryscale::http
