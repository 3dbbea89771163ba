#include "cli/entry_host.hpp"

#include "peer/peer_task.hpp"
#include "store/call_limiter.hpp"
#include "telemetry/log.hpp"

#include <chrono>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace savoryscale::cli {

namespace {

std::uint64_t random_seed()
{
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32) | entropy();
}

} // namespace

entry_host::entry_host(const settings::settings& config, std::function<void()> on_stopped)
    : config_{config},
      on_stopped_{std::move(on_stopped)},
      seed_{random_seed()},
      metrics_{telemetry::register_metrics(registry_)}
{
}

entry_host::~entry_host()
{
    if (front_thread_.joinable()) {
        loop_->stop();
        front_thread_.join();
    }
    control_.reset();
    host_list_.reset();
    store_.reset();
    http_task_.reset();
    loop_.reset();
}

result<void> entry_host::start()
{
    if (config_.admin_) {
        auto admin = telemetry::admin_task::start(*config_.admin_, registry_, readiness_);
        if (!admin) {
            return tl::unexpected(admin.error());
        }
        admin_ = std::move(*admin);
    }
    if (auto traced = start_tracing(); !traced) {
        return traced;
    }
    auto loop = http::event_loop::make(config_.listen_.max_connections_ * 2);
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    loop_ = std::move(*loop);
    store::call_limiter_options limiter_options;
    limiter_options.calls_per_second_ = config_.platform_.calls_per_second_;
    store_ = std::make_unique<store::http_object_client>(config_.platform_.object_api_,
                                                         limiter_options, seed_);
    counting_store_ = std::make_unique<store::counting_object_client>(
        *store_, [this](store::operation made, store::call_status seen) {
            metrics_.store_call(made, seen).Increment();
        });
    host_list_ = std::make_unique<store::http_host_list_client>(config_.platform_.host_list_);
    http_task_ =
        std::make_unique<http::http_task>(*loop_, config_, metrics_, seed_, http_task_events());
    const auto port = http_task_->open();
    if (!port) {
        return tl::unexpected(port.error());
    }
    control_ = std::make_unique<membership::control_task>(config_, *counting_store_, *host_list_,
                                                          control_callbacks());
    front_thread_ = std::thread{[this] { loop_->run([this] { http_task_->run_posted(); }); }};
    telemetry::state_change("host_serving", {{"host", config_.host_.id_},
                                             {"ip", config_.listen_.address_.ip_},
                                             {"port", std::to_string(*port)}});
    return control_->start();
}

result<void> entry_host::start_tracing()
{
    if (!config_.tracing_.collector_) {
        return {};
    }
    spans_.emplace(config_.tracing_.queue_spans_, metrics_.spans_dropped_);
    auto exporter = telemetry::span_exporter::start(
        *config_.tracing_.collector_,
        {config_.host_.id_, config_.host_.data_centre_, config_.host_.region_}, *spans_, metrics_);
    if (!exporter) {
        return tl::unexpected(exporter.error());
    }
    exporter_ = std::move(*exporter);
    return {};
}

// Passes events of the HTTP task to the other tasks.
http::http_task_events entry_host::http_task_events()
{
    http::http_task_events events;
    events.on_stopped_ = on_stopped_;
    events.spans_ = spans_ ? &*spans_ : nullptr;
    events.on_object_call_ = [this](store::object_call call) {
        counting_store_->submit(std::move(call));
    };
    events.on_target_draining_ = [this](std::string_view service, const settings::endpoint& target,
                                        std::uint64_t incarnation) {
        control_->post(membership::drain_seen{std::string{service}, target, incarnation});
    };
    events.on_suspicion_ = [this](peer::fact suspicion) {
        control_->post(membership::suspicion_raised{std::move(suspicion)});
    };
    events.on_tick_ = [this] { publish_control_counters(); };
    return events;
}

// Passes updates of the control task to the HTTP task.
membership::control_callbacks entry_host::control_callbacks()
{
    membership::control_callbacks callbacks;
    callbacks.on_lists_ = [this](const plans::lists& lists) {
        metrics_.configuration_version_.Set(static_cast<double>(lists.version_));
        http_task_->post([lists](http::http_task& task) { task.set_lists(lists); });
    };
    callbacks.on_targets_ = [this](const std::string& service,
                                   const std::vector<routing::target_info>& targets) {
        http_task_->post(
            [service, targets](http::http_task& task) { task.set_targets(service, targets); });
    };
    callbacks.on_suspicion_ = [this](const peer::fact& suspicion) {
        http_task_->post([suspicion](http::http_task& task) { task.merge_suspicion(suspicion); });
    };
    callbacks.on_ready_ = [this](bool ready) { set_ready(ready); };
    callbacks.on_share_ = [this](const membership::share_limit& limit) {
        http_task_->post([limit](http::http_task& task) {
            task.set_share(limit.resource_, static_cast<double>(limit.amount_), limit.until_,
                           static_cast<double>(limit.next_amount_));
        });
    };
    return callbacks;
}

// Has no effect once the host is stopping.
void entry_host::set_ready(bool ready)
{
    using telemetry::readiness;
    readiness before = readiness_;
    const readiness after = ready ? readiness::ready : readiness::no_configuration;
    while (before != readiness::stopping && !readiness_.compare_exchange_weak(before, after)) {
    }
}

void entry_host::publish_control_counters()
{
    const peer::peer_counters* counters = control_->exchange_counters();
    if (counters == nullptr) {
        return;
    }
    using telemetry::direction;
    const std::uint64_t sent = counters->bytes_sent_;
    const std::uint64_t received = counters->bytes_received_;
    metrics_.peer_bytes_[direction::sent].Increment(
        static_cast<double>(sent - std::exchange(peer_bytes_sent_, sent)));
    metrics_.peer_bytes_[direction::received].Increment(
        static_cast<double>(received - std::exchange(peer_bytes_received_, received)));
}

void entry_host::begin_stop()
{
    readiness_ = telemetry::readiness::stopping;
    telemetry::state_change("host_stopping", {{"host", config_.host_.id_}});
    control_->post(membership::stopping{});
    http_task_->post([](http::http_task& task) { task.begin_stop(); });
}

} // namespace savoryscale::cli
