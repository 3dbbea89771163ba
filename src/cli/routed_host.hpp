#pragma once

// One entry host that follows a directory: one thread and one event loop for callers, targets, the
// store and the feeds of other hosts.

#include "base/error.hpp"
#include "directory/directory_task.hpp"
#include "http/event_loop.hpp"
#include "http/http_task.hpp"
#include "http/page_server.hpp"
#include "settings/settings.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/readiness.hpp"

#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::cli {

class routed_host {
public:
    routed_host(const settings::settings& config, const directory::dialect& store_dialect);
    ~routed_host();
    routed_host(const routed_host&) = delete;
    routed_host& operator=(const routed_host&) = delete;
    routed_host(routed_host&&) = delete;
    routed_host& operator=(routed_host&&) = delete;

    // Starts all components. Errors: an address that cannot be bound.
    result<void> start();

    // Runs until the stop is complete. Handles signals: the first SIGTERM or SIGINT starts a
    // graceful stop. Without a grace the second stops immediately; with one it changes nothing, as
    // the end is set. Returns whether the stop was graceful.
    bool run(const std::string& settings_file);

private:
    http::http_task_events http_task_events();
    directory::directory_events directory_events();
    http::page answer_page(std::string_view path) const;
    void on_wake();
    void begin_stop();
    void force_stop();
    [[nodiscard]] duration grace() const;
    [[nodiscard]] bool has_stop_schedule() const; // the process ends when the grace is over
    void reload();
    void reread_settings();
    void update_readiness();

    const settings::settings& config_;
    const directory::dialect& dialect_;
    std::uint64_t seed_;
    prometheus::Registry registry_;
    const telemetry::metrics metrics_;
    telemetry::readiness readiness_ = telemetry::readiness::starting;
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<http::http_task> http_task_;
    std::unique_ptr<directory::directory_task> directory_;
    std::unique_ptr<http::page_server> pages_;
    std::string settings_file_;
    time_point last_reread_{}; // time of the last reread of the settings
    std::vector<settings::endpoint> peers_;
    bool stop_forced_ = false;
};

} // namespace savoryscale::cli
