#include "cli/routed_host.hpp"

#include "cli/signals.hpp"
#include "settings/parse.hpp"
#include "telemetry/admin_task.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace savoryscale::cli {

namespace {

using namespace std::chrono_literals;

// A stop is forced this long before the end of the grace period, when the platform kills the
// process.
constexpr duration forced_stop_margin = 200ms;

// Monitoring tools need few connections; any above this number are closed immediately.
constexpr std::size_t page_connections_max = 32;

// Minimum interval between rereads of the settings while no peer answers.
constexpr duration reread_interval_min = 5s;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

// Logs the settings that differ between deployments, so that a log tells under which bounds its
// host ran.
void log_settings(const settings::settings& config)
{
    const settings::directory& followed = *config.directory_;
    const auto text = [](double value) { return fmt::format("{}", value); };
    telemetry::state_change("host_settings",
                            {{"hosts_max", text(config.host_.hosts_max_)},
                             {"memory_mb", text(config.host_.memory_mb_)},
                             {"grace_s", text(config.listen_.grace_.count())},
                             {"drain_s", text(followed.drain_.count())},
                             {"evacuation_s", text(followed.evacuation_.count())},
                             {"keys_age_max_s", text(followed.keys_age_max_.count())},
                             {"allotment_window_s", text(followed.allotments_.window_.count())},
                             {"allotment_overage", text(followed.allotments_.overage_)},
                             {"allotment_slack", text(followed.allotments_.slack_)},
                             {"cold_overage", text(followed.cold_.overage_)},
                             {"cold_slack", text(followed.cold_.slack_)},
                             {"retry_ratio", text(followed.retry_ratio_)},
                             {"retry_slack", text(followed.retry_slack_)},
                             {"probes_per_target", text(followed.probes_per_target_)}});
}

std::uint64_t random_seed()
{
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32) | entropy();
}

} // namespace

routed_host::routed_host(const settings::settings& config, const directory::dialect& store_dialect)
    : config_{config},
      dialect_{store_dialect},
      seed_{random_seed()},
      metrics_{telemetry::register_metrics(registry_)}
{
    if (config_.directory_->feed_) {
        peers_ = config_.directory_->feed_->hosts_;
    }
}

routed_host::~routed_host()
{
    stop_waking();
    pages_.reset();
    directory_.reset();
    http_task_.reset();
    loop_.reset();
}

result<void> routed_host::start()
{
    const bool uses_tls = config_.listen_.tls_ || config_.directory_->service_.tls_;
    auto loop = http::event_loop::make(config_.listen_.max_connections_ * 2,
                                       uses_tls ? http::tls_support::yes : http::tls_support::no);
    if (!loop) {
        return tl::unexpected(loop.error());
    }
    loop_ = std::move(*loop);
    wake_on_signals(*loop_);
    log_settings(config_);
    http_task_ =
        std::make_unique<http::http_task>(*loop_, config_, metrics_, seed_, http_task_events());
    directory_ = std::make_unique<directory::directory_task>(
        *loop_, *config_.directory_, dialect_, config_.host_, seed_ + 1, directory_events());
    http_task_->relays().set_known_hosts(
        [this] { return directory_->known_hosts(config_.host_.data_centre_); });
    http_task_->set_confirmed_at([this] { return directory_->confirmed_at(); });
    pages_ = std::make_unique<http::page_server>(
        *loop_, page_connections_max,
        [this](std::string_view path, const http::page_reply& reply) { reply(answer_page(path)); });
    if (const auto opened = pages_->open(config_.ready_->address_); !opened) {
        return tl::unexpected(opened.error());
    }
    const auto port = http_task_->open();
    if (!port) {
        return tl::unexpected(port.error());
    }
    telemetry::state_change("host_serving", {{"host", config_.host_.id_},
                                             {"data_centre", config_.host_.data_centre_},
                                             {"ip", config_.listen_.address_.ip_},
                                             {"port", std::to_string(*port)}});
    if (const auto opened = directory_->start(); !opened) {
        return tl::unexpected(opened.error());
    }
    return {};
}

bool routed_host::run(const std::string& settings_file)
{
    settings_file_ = settings_file;
    loop_->run([this] { on_wake(); });
    return !stop_forced_;
}

void routed_host::on_wake()
{
    http_task_->run_posted();
    if (take_reload_requests() > 0) {
        reload();
    }
    const int stops = take_stop_requests();
    if (stops == 0) {
        return;
    }
    const bool is_repeated = stops > 1 || readiness_ == telemetry::readiness::stopping;
    if (readiness_ != telemetry::readiness::stopping) {
        begin_stop();
    }
    if (!is_repeated) {
        return;
    }
    if (has_stop_schedule()) {
        // The end is set already, and requests are in progress until then.
        telemetry::state_change("stop_repeated", {});
    }
    else {
        force_stop();
    }
}

void routed_host::begin_stop()
{
    readiness_ = telemetry::readiness::stopping;
    telemetry::state_change("host_stopping", {{"host", config_.host_.id_},
                                              {"callers", std::to_string(http_task_->callers())}});
    if (!has_stop_schedule()) {
        http_task_->begin_stop();
        return;
    }
    const time_point ends_at = loop_->now() + grace() - forced_stop_margin;
    loop_->at(ends_at, [this] { force_stop(); });
    http_task_->begin_stop(ends_at);
}

void routed_host::force_stop()
{
    telemetry::state_change("stop_forced", {{"callers", std::to_string(http_task_->callers())}},
                            telemetry::severity::warning);
    stop_forced_ = true;
    loop_->stop();
}

duration routed_host::grace() const
{
    return std::chrono::duration_cast<duration>(config_.listen_.grace_);
}

bool routed_host::has_stop_schedule() const
{
    return grace() > forced_stop_margin;
}

// Applies a changed list of feed hosts immediately. All other changes take effect at the next
// start.
void routed_host::reload()
{
    const auto read = settings::load(settings_file_);
    telemetry::state_change("settings_reloaded",
                            {{"file", settings_file_},
                             {"outcome", read ? "valid, takes effect at the next start"
                                              : to_string(read.error().front())}});
    const bool feeds = read && read->directory_ && read->directory_->feed_;
    if (feeds && config_.directory_->feed_ && read->directory_->feed_->hosts_ != peers_) {
        peers_ = read->directory_->feed_->hosts_;
        directory_->set_peers(peers_);
        http_task_->set_feed_hosts(peers_);
    }
}

// The settings may have changed without a signal. Reloads from the event loop, so that the peer
// list does not change while the directory task is querying peers.
void routed_host::reread_settings()
{
    const time_point now = loop_->now();
    if (settings_file_.empty() || now - last_reread_ < reread_interval_min) {
        return;
    }
    last_reread_ = now;
    loop_->after(duration::zero(), [this] { reload(); });
}

http::http_task_events routed_host::http_task_events()
{
    http::http_task_events events;
    events.on_stopped_ = [this] {
        telemetry::state_change("host_stopped", {});
        loop_->stop();
    };
    events.on_tick_ = [] { telemetry::flush_log(); };
    events.on_suspicion_ = [this](const peer::fact& suspicion) {
        directory_->share_suspicion(suspicion);
    };
    return events;
}

directory::directory_events routed_host::directory_events()
{
    directory::directory_events events;
    events.on_desired_state_ = [this](routes::desired_state state) {
        metrics_.configuration_version_.Set(static_cast<double>(state.version_));
        http_task_->set_desired_state(std::move(state));
        update_readiness();
    };
    events.on_targets_ = [this](const std::string& service,
                                std::vector<routing::target_info> targets) {
        http_task_->set_targets(service, std::move(targets));
        update_readiness();
    };
    events.on_emptied_ = [this](const std::vector<std::string>& data_centres) {
        http_task_->set_emptied(data_centres);
        update_readiness();
    };
    events.on_store_call_ = [this](store::operation made, store::call_status seen) {
        metrics_.store_call(made, seen).Increment();
    };
    events.on_store_era_ = [this](std::uint64_t era) {
        metrics_.store_era_.Set(static_cast<double>(era));
    };
    events.on_peer_request_ = [this](std::string_view path) {
        return http_task_->answer_peer(path);
    };
    events.unreached_services_ = [this] { return http_task_->unreached_services(); };
    events.on_suspicions_ = [this](const std::vector<peer::fact>& suspicions) {
        http_task_->receive_suspicions(suspicions);
    };
    events.on_peer_started_ = [this](const std::string& peer) {
        http_task_->suspicion_reports().report_all(peer);
    };
    events.on_peers_lost_ = [this] { reread_settings(); };
    return events;
}

void routed_host::update_readiness()
{
    using telemetry::readiness;
    if (readiness_ == readiness::starting && directory_->is_complete()) {
        readiness_ = readiness::ready;
        telemetry::state_change("host_ready", {{"host", config_.host_.id_}});
    }
}

http::page routed_host::answer_page(std::string_view path) const
{
    if (path == config_.ready_->path_) {
        const bool ready = readiness_ == telemetry::readiness::ready;
        return {ready ? status_ok : status_unavailable, "text/plain",
                std::string{telemetry::to_string(readiness_)} + "\n"};
    }
    if (path == config_.ready_->metrics_path_) {
        const auto answer = telemetry::answer_admin("/metrics", readiness_, registry_);
        return {answer.status_, answer.content_type_, answer.body_};
    }
    return {status_not_found, "text/plain", "no such page\n"};
}

} // namespace savoryscale::cli
