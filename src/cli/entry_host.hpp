#pragma once

// Assembles one entry host: all tasks, the clients they use, and the messages between them.

#include "base/error.hpp"
#include "http/event_loop.hpp"
#include "http/http_task.hpp"
#include "membership/control_task.hpp"
#include "settings/settings.hpp"
#include "store/counting_object_client.hpp"
#include "store/http_host_list_client.hpp"
#include "store/http_object_client.hpp"
#include "telemetry/admin_task.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/readiness.hpp"
#include "telemetry/span_exporter.hpp"
#include "telemetry/span_queue.hpp"

#include <prometheus/registry.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace savoryscale::cli {

class entry_host {
public:
    // `on_stopped` is called on a task's thread when a graceful stop is complete.
    entry_host(const settings::settings& config, std::function<void()> on_stopped);

    // Ends every task immediately.
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;
    entry_host(entry_host&&) = delete;
    entry_host& operator=(entry_host&&) = delete;

    // Starts every task. Errors: an address that cannot be bound, invalid keys or files.
    result<void> start();

    // Starts a graceful stop: fails readiness, notifies peers and lets requests in progress end.
    void begin_stop();

private:
    result<void> start_tracing();
    http::http_task_events http_task_events();
    membership::control_callbacks control_callbacks();
    void set_ready(bool ready);
    void publish_control_counters();

    const settings::settings& config_;
    std::function<void()> on_stopped_;
    std::uint64_t seed_;
    prometheus::Registry registry_;
    const telemetry::metrics metrics_;
    std::atomic<telemetry::readiness> readiness_ = telemetry::readiness::starting;
    std::unique_ptr<telemetry::admin_task> admin_;
    std::optional<telemetry::span_queue> spans_;
    std::unique_ptr<telemetry::span_exporter> exporter_;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<http::http_task> http_task_;
    // The clients' threads post to http_task_, so they must end before it.
    std::unique_ptr<store::counting_object_client> counting_store_; // outlives the calls of store_
    std::unique_ptr<store::http_object_client> store_;
    std::unique_ptr<store::http_host_list_client> host_list_;
    std::unique_ptr<membership::control_task> control_;
    std::uint64_t peer_bytes_sent_ = 0; // value at the last publication
    std::uint64_t peer_bytes_received_ = 0;
    std::thread front_thread_;
};

} // namespace savoryscale::cli
