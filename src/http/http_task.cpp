#include "http/http_task.hpp"

#include "http/buffered_exchange.hpp"
#include "http/caller_connection.hpp"
#include "http/load_fields.hpp"
#include "http/probe_exchange.hpp"
#include "http/proxied_call.hpp"
#include "http/socket.hpp"
#include "telemetry/log.hpp"
#include "telemetry/span_queue.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 1s;

// Requests of other hosts in progress here; the caller of one more is served by a third host. They
// take their turn among this host's own, whose connections are not limited by it.
constexpr std::size_t relayed_calls_max = 64;
constexpr duration stop_check_interval = 10ms;

// Between checks of the requests in progress during a stop that ends the process.
constexpr duration schedule_check_interval = 25ms;
constexpr duration load_interval = 100ms; // between load reports to admission

// Retry-After of a refusal for which no wait was computed: the minimum plus a random part.
constexpr duration retry_after_min = 1s;
constexpr std::uint64_t retry_after_spread_ms = 2000;

// Retry-After of a refusal for lack of a free slot: the expected wait, jittered over this fraction
// of it.
constexpr double retry_spread = 0.5;
constexpr duration retry_after_free_min = 30ms;

// Builds one route per service from the settings: its path prefix, for any Host.
routes::desired_state routes_of_settings(const std::vector<settings::service>& services)
{
    routes::desired_state state;
    for (const settings::service& service : services) {
        routes::route prefix_route;
        prefix_route.name_ = service.name_;
        prefix_route.path_prefix_ = service.path_prefix_;
        prefix_route.weighted_services_.push_back({service.name_, 1});
        state.routes_.push_back(std::move(prefix_route));
    }
    return state;
}

} // namespace

http_task::http_task(event_loop& loop, const settings::settings& config,
                     const telemetry::metrics& metrics, std::uint64_t seed, http_task_events events)
    : loop_{loop},
      config_{config},
      events_{std::move(events)},
      random_{seed},
      metrics_{metrics},
      admission_{admission::make_state(1.0 / config.host_.hosts_max_)},
      inbox_{[&loop] { loop.wake(); }},
      request_id_prefix_{fmt::format("{}-{:x}-", config.host_.id_, random_())},
      grants_{loop, random_},
      allotments_{loop, random_, config, metrics},
      suspicion_reports_{loop, random_, quarantine_,
                         [this](std::span<const peer::fact> known) { receive_suspicions(known); }},
      relay_hosts_{loop, random_, config}
{
    body_memory_.max_ = settings::caller_memory_bytes(config_);
    quarantine_.content_delay_ = admission::content_delay_of(config_.host_.id_);
    limits_.max_header_bytes_ = config_.listen_.max_header_bytes_;
    limits_.idle_timeout_ = config_.listen_.idle_timeout_;
    limits_.header_timeout_ = config_.listen_.header_timeout_;
    if (config_.directory_) {
        const auto& feed = config_.directory_->feed_;
        if (feed && !feed->hosts_.empty()) {
            set_feed_hosts(feed->hosts_);
        }
        else {
            grants_.set_alone(config_.host_.hosts_max_);
        }
        return;
    }
    for (const settings::service& service : config_.services_) {
        apply_targets(add_service(service));
    }
    routes_ =
        std::make_shared<routes::table>(routes::make_table(routes_of_settings(config_.services_)));
}

http_task::~http_task()
{
    callers_.clear();
    probes_.clear();
    search_probes_.clear();
    loop_.clear_timers();
}

result<std::uint16_t> http_task::open()
{
    loop_.after(tick_interval, [this] { tick(); });
    if (!config_.directory_) {
        probe_targets();
        loop_.after(load_interval, [this] { report_load_to_admission(); });
    }
    if (relay_hosts_.is_enabled()) {
        auto opened =
            loop_.listen(*config_.directory_->feed_->relay_, std::nullopt, accept_callers(true));
        if (!opened) {
            return opened;
        }
    }
    return loop_.listen(config_.listen_.address_, config_.listen_.tls_, accept_callers(false));
}

// `are_hosts`: the connections come from other entry hosts.
accept_function http_task::accept_callers(bool are_hosts)
{
    return [this, are_hosts](socket& stream) -> socket_handler* {
        if (callers_.size() >= config_.listen_.max_connections_) {
            make_room_for_caller();
        }
        if (callers_.size() >= config_.listen_.max_connections_) {
            metrics_.callers_turned_away_.Increment();
            return nullptr;
        }
        auto owned = std::make_unique<caller_connection>(*this, stream, are_hosts);
        caller_connection* caller = owned.get();
        callers_.emplace(caller, std::move(owned));
        return caller;
    };
}

bool http_task::begin_relayed_call()
{
    if (relayed_calls_ >= relayed_calls_max) {
        return false;
    }
    ++relayed_calls_;
    ++relayed_calls_total_;
    metrics_.relayed_requests_[telemetry::direction::received].Increment();
    return true;
}

std::vector<directory::service_hash> http_task::unreached_services() const
{
    std::vector<directory::service_hash> unreached;
    for (const auto& service : services_) {
        if (service->reach_.lost_at_) {
            unreached.push_back(directory::hash_of_service(service->config_.name_));
        }
    }
    return unreached;
}

void http_task::post(std::function<void(http_task&)> action)
{
    inbox_.post(std::move(action));
}

void http_task::run_posted()
{
    for (auto& action : inbox_.take()) {
        action(*this);
    }
}

void http_task::set_lists(const plans::lists& lists)
{
    admission::set_lists(admission_, lists, loop_.now());
}

service_state* http_task::find_service(std::string_view name)
{
    const auto found = std::find_if(services_.begin(), services_.end(), [&](const auto& service) {
        return service->config_.name_ == name;
    });
    return found == services_.end() ? nullptr : found->get();
}

const service_state* http_task::known_service(std::string_view name) const
{
    const auto found = std::find_if(services_.begin(), services_.end(), [&](const auto& service) {
        return service->config_.name_ == name;
    });
    return found == services_.end() ? nullptr : found->get();
}

std::size_t http_task::target_count(std::string_view service)
{
    const service_state* known = find_service(service);
    return known == nullptr ? 0 : known->target_count_;
}

void http_task::set_targets(std::string_view service, std::vector<routing::target_info> targets)
{
    if (service_state* state = find_service(service); state != nullptr) {
        state->listed_ = std::move(targets);
        apply_targets(*state);
    }
}

void http_task::set_share(const std::string& resource, double amount, time_point until,
                          double later)
{
    apply_share(resource, amount);
    timer_id& timer = share_timers_[resource];
    loop_.cancel(timer);
    timer = until == time_point::max()
                ? 0
                : loop_.at(until, [this, resource, later] { apply_share(resource, later); });
}

void http_task::apply_share(std::string_view resource, double amount)
{
    constexpr std::string_view probes = "probes/";
    constexpr std::string_view probe_bytes = "probe_bytes/";
    service_state* service = nullptr;
    if (resource.substr(0, probes.size()) == probes) {
        service = find_service(resource.substr(probes.size()));
        if (service != nullptr) {
            service->probes_share_ = amount;
        }
    }
    else if (resource.substr(0, probe_bytes.size()) == probe_bytes) {
        service = find_service(resource.substr(probe_bytes.size()));
        if (service != nullptr) {
            service->probe_bytes_share_ = amount;
        }
    }
    if (service != nullptr) {
        apply_probe_share(*service);
    }
}

// A probe uses at most probe_bytes_max bytes, so one rate keeps both the probe and the byte budget.
void http_task::apply_probe_share(service_state& service)
{
    routing::set_probe_share(service.view_, std::min(service.probes_share_,
                                                     service.probe_bytes_share_ / probe_bytes_max));
}

// Reports slots and requests in flight, so that admission can refuse early what an overloaded
// service could not serve in time.
void http_task::report_load_to_admission()
{
    for (auto& service : services_) {
        const double slots = static_cast<double>(service->config_.slots_per_target_) *
                             static_cast<double>(service->target_count_);
        admission::set_load(admission_, service->config_.name_,
                            routing::calls_per_slot(service->view_), slots);
    }
    loop_.after(load_interval, [this] { report_load_to_admission(); });
}

std::uint64_t http_task::submit(store::object_call call, proxied_call* requester)
{
    const std::uint64_t call_id = ++last_object_call_id_;
    if (requester != nullptr) {
        object_call_waiters_.emplace(call_id, requester);
    }
    call.done_ = [this, call_id](store::object_reply reply) {
        post([call_id, answer = std::move(reply)](http_task& task) {
            const auto found = task.object_call_waiters_.find(call_id);
            if (found != task.object_call_waiters_.end()) {
                proxied_call* waiting = found->second;
                task.object_call_waiters_.erase(found);
                waiting->on_claim_reply(answer);
            }
        });
    };
    events_.on_object_call_(std::move(call));
    return call_id;
}

void http_task::record(telemetry::span finished)
{
    if (events_.spans_ != nullptr) {
        events_.spans_->push(std::move(finished));
    }
}

admission::verdict http_task::admit(std::string_view customer, const service_state& service)
{
    if (config_.directory_) {
        return {}; // a host that follows a directory has no two lists, hence no plans
    }
    const auto verdict =
        admission::admit(admission_, customer, service.config_.name_, loop_.now(), random_);
    if (!verdict.admitted()) {
        metrics_.refusals_[verdict.reason_].Increment();
    }
    return verdict;
}

void http_task::release(std::string_view customer, const service_state& service)
{
    if (config_.directory_) {
        return;
    }
    admission::release(admission_, customer, service.config_.name_);
}

std::string http_task::next_request_id()
{
    return fmt::format("{}{:x}", request_id_prefix_, ++last_request_);
}

duration http_task::retry_after(std::optional<duration> expected)
{
    if (expected) {
        const double spread = 1 + retry_spread * (uniform_unit(random_) - 0.5);
        const double wait = std::chrono::duration<double, std::nano>{*expected}.count() * spread;
        return std::max(retry_after_free_min, duration{static_cast<std::int64_t>(wait)});
    }
    return retry_after_min +
           std::chrono::milliseconds{uniform_below(random_, retry_after_spread_ms)};
}

void http_task::on_target_draining(service_state& service, routing::target_index target)
{
    const settings::endpoint& address = routing::address_of(service.view_, target);
    for (routing::target_info& info : service.listed_) {
        if (info.address_ == address && !info.leaving_) {
            info.leaving_ = true;
            if (events_.on_target_draining_) {
                events_.on_target_draining_(service.config_.name_, address, info.incarnation_);
            }
        }
    }
    target_connections& connections = connections_of(service, target);
    connections.leaving_ = true;
    connections.pool_->close_idle();
}

const admission::body_memory& http_task::measured_body_memory()
{
    const time_point now = loop_.now();
    if (admission::is_measurement_due(body_memory_, now)) {
        std::size_t held = loop_.finishing_bytes();
        for (const auto& [caller, owned] : callers_) {
            caller->set_accounted_bytes(caller->held_bytes());
            held += caller->accounted_bytes();
        }
        admission::on_measured(body_memory_, held, now);
    }
    plan_relief();
    return body_memory_;
}

std::size_t http_task::body_limit(std::size_t usual)
{
    return admission::body_limit(measured_body_memory(), usual);
}

void http_task::remove_caller(caller_connection& closed)
{
    const auto found = callers_.find(&closed);
    if (found == callers_.end()) {
        return;
    }
    loop_.destroy_later(std::move(found->second));
    callers_.erase(found);
}

void http_task::resume_later(caller_connection& caller)
{
    loop_.after(duration::zero(), [this, &caller] {
        if (callers_.find(&caller) != callers_.end()) {
            caller.on_data({});
        }
    });
}

// Once a second: closes old idle connections and publishes gauges and connection counts.
void http_task::tick()
{
    const time_point now = loop_.now();
    metrics_.caller_connections_.Set(static_cast<double>(callers_.size()));
    metrics_.caller_memory_.Set(static_cast<double>(measured_body_memory().held_));
    metrics_.requests_in_progress_.Set(
        static_cast<double>(std::count_if(callers_.begin(), callers_.end(), [](const auto& entry) {
            return entry.first->is_busy();
        })));
    if (events_.on_tick_) {
        events_.on_tick_();
    }
    publish_limits();
    publish_emptied();
    allotments_.close_aged(now);
    relay_hosts_.close_aged(now);
    for (auto& service : services_) {
        for (auto& [index, connections] : service->targets_) {
            connections.pool_->close_aged(now);
            publish(connections.pool_->take_counters());
        }
    }
    loop_.after(tick_interval, [this] { tick(); });
}

void http_task::publish(const pool_counters& counted)
{
    using telemetry::connection_event;
    const auto& events = metrics_.target_connections_;
    events[connection_event::opened].Increment(static_cast<double>(counted.opened_));
    events[connection_event::reused].Increment(static_cast<double>(counted.reused_));
    events[connection_event::failed].Increment(static_cast<double>(counted.refused_));
    events[connection_event::retired].Increment(
        static_cast<double>(counted.retired_ + counted.poisoned_));
}

void http_task::begin_stop(std::optional<time_point> ends_at)
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    duration accepting = config_.listen_.stop_lag_;
    if (ends_at) {
        stop_schedule_ = dispatch::stop_schedule{*ends_at};
        accepting = dispatch::accepting_time(*stop_schedule_, accepting, loop_.now());
        follow_stop_schedule();
    }
    loop_.after(accepting, [this] { end_idle_callers(); });
}

void http_task::follow_stop_schedule()
{
    for (caller_connection* caller : all_callers()) {
        caller->on_host_stopping();
    }
    loop_.after(schedule_check_interval, [this] { follow_stop_schedule(); });
}

std::vector<caller_connection*> http_task::all_callers() const
{
    std::vector<caller_connection*> all;
    all.reserve(callers_.size());
    for (const auto& [caller, owned] : callers_) {
        all.push_back(caller);
    }
    return all;
}

void http_task::end_idle_callers()
{
    stop_lag_over_ = true;
    loop_.stop_listening();
    for (caller_connection* caller : all_callers()) {
        caller->stop();
    }
    check_stopped();
}

// Waits until the last caller connection has sent its whole answer and is closed.
void http_task::check_stopped()
{
    if (!callers_.empty() || loop_.accepted() > 0) {
        loop_.after(stop_check_interval, [this] { check_stopped(); });
        return;
    }
    if (events_.on_stopped_) {
        events_.on_stopped_();
    }
}

} // namespace savoryscale::http
