#include "cli/serve.hpp"

#include "cli/command.hpp"
#include "cli/entry_host.hpp"
#include "cli/routed_host.hpp"
#include "cli/signals.hpp"
#include "directory/dialect.hpp"
#include "telemetry/log.hpp"

#include <csignal>
#include <iostream>
#include <unistd.h>

namespace savoryscale::cli {

namespace {

// Sent to this process by its own task when a graceful stop is complete.
constexpr int stopped_signal = SIGUSR1;

// Blocks the signals that the main thread waits for; every thread started later inherits the mask.
sigset_t block_signals()
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    for (const int number : {SIGTERM, SIGINT, stopped_signal}) {
        sigaddset(&stop_signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    return stop_signals;
}

// Waits for signals: the first starts a graceful stop, the second forces an immediate one.
int wait_for_stop(const sigset_t& stop_signals, entry_host& host)
{
    bool stopping = false;
    while (true) {
        int number = 0;
        sigwait(&stop_signals, &number);
        if (number == stopped_signal) {
            telemetry::state_change("host_stopped", {});
            return exit_ok;
        }
        if (stopping) {
            telemetry::state_change("stop_forced", {}, telemetry::severity::warning);
            return exit_failure;
        }
        stopping = true;
        host.begin_stop();
    }
}

int run_host(const settings::settings& config, const sigset_t& stop_signals)
{
    entry_host host{config, [] { ::kill(::getpid(), stopped_signal); }};
    if (const auto started = host.start(); !started) {
        std::cerr << to_string(started.error()) << '\n';
        return exit_failure;
    }
    return wait_for_stop(stop_signals, host);
}

// Runs one event loop for callers, targets and the store; logs to standard output.
int serve_directory(const settings::settings& config, const std::string& settings_file)
{
    const directory::dialect* store_dialect = directory::installed_dialect();
    if (store_dialect == nullptr) {
        std::cerr << "directory: no store dialect is built in; build with platform/\n";
        return exit_failure;
    }
    telemetry::start_single_threaded_logging(config.logging_, STDOUT_FILENO);
    routed_host host{config, *store_dialect};
    if (const auto started = host.start(); !started) {
        std::cerr << to_string(started.error()) << '\n';
        telemetry::stop_logging();
        return exit_failure;
    }
    const bool graceful = host.run(settings_file);
    telemetry::stop_logging();
    return graceful ? exit_ok : exit_failure;
}

} // namespace

int serve(const settings::settings& config, const std::string& settings_file)
{
    if (config.directory_) {
        return serve_directory(config, settings_file);
    }
    reset_reload_signals(); // only hosts that follow a directory reload their settings
    const sigset_t stop_signals = block_signals();
    telemetry::start_logging(config.logging_, std::cerr);
    const int code = run_host(config, stop_signals);
    telemetry::stop_logging();
    return code;
}

} // namespace savoryscale::cli
