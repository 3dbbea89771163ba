#include "cli/serve.hpp"

#include "cli/command.hpp"
#include "http/event_loop.hpp"
#include "http/front.hpp"
#include "settings/settings.hpp"
#include "telemetry/admin_task.hpp"
#include "telemetry/log.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/readiness.hpp"

#include <fmt/format.h>

#include <prometheus/registry.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <thread>
#include <unistd.h>

namespace savoryscale::cli {

namespace {

// Sent by the HTTP task to this process when its last caller has gone.
constexpr int stopped_signal = SIGUSR1;

// Signals are taken by the main thread alone; every thread started later inherits the mask.
sigset_t block_signals()
{
    sigset_t watched;
    sigemptyset(&watched);
    for (const int number : {SIGTERM, SIGINT, stopped_signal}) {
        sigaddset(&watched, number);
    }
    pthread_sigmask(SIG_BLOCK, &watched, nullptr);
    return watched;
}

int fail(const error& fault)
{
    fmt::print(stderr, "{}\n", to_string(fault));
    return exit_failure;
}

// Waits for signals: the first asks for a graceful stop, the second forces it.
int wait_for_stop(const sigset_t& watched, http::front& front,
                  std::atomic<telemetry::readiness>& readiness)
{
    bool stopping = false;
    while (true) {
        int number = 0;
        sigwait(&watched, &number);
        if (number == stopped_signal) {
            telemetry::state_change("host_stopped", {});
            return exit_ok;
        }
        if (stopping) {
            telemetry::state_change("stop_forced", {}, telemetry::severity::warning);
            return exit_failure;
        }
        stopping = true;
        readiness = telemetry::readiness::stopping;
        telemetry::state_change("host_stopping", {});
        front.post([](http::front& task) { task.begin_stop(); });
    }
}

} // namespace

int serve(const settings::settings& config)
{
    const sigset_t watched = block_signals();
    telemetry::start_logging(config.logging_, std::cerr);
    prometheus::Registry registry;
    const telemetry::metrics metrics = telemetry::register_metrics(registry);
    std::atomic<telemetry::readiness> readiness = telemetry::readiness::starting;
    std::unique_ptr<telemetry::admin_task> admin;
    if (config.admin_) {
        auto started = telemetry::admin_task::start(*config.admin_, registry, readiness);
        if (!started) {
            return fail(started.error());
        }
        admin = std::move(*started);
    }

    auto loop = http::event_loop::make(config.listen_.max_connections_ * 2);
    if (!loop) {
        return fail(loop.error());
    }
    http::front_events events;
    events.on_stopped_ = [] { ::kill(::getpid(), stopped_signal); };
    std::random_device entropy;
    const std::uint64_t seed = (std::uint64_t{entropy()} << 32) | entropy();
    auto front = std::make_unique<http::front>(**loop, config, metrics, seed, std::move(events));
    const auto port = front->open();
    if (!port) {
        return fail(port.error());
    }
    readiness = telemetry::readiness::ready;
    telemetry::state_change("host_serving", {{"host", config.host_.id_},
                                             {"ip", config.listen_.address_.ip_},
                                             {"port", std::to_string(*port)}});
    std::thread task{[&] { (*loop)->run([&] { front->run_posted(); }); }};
    const int code = wait_for_stop(watched, *front, readiness);
    (*loop)->stop();
    task.join();
    front.reset();
    telemetry::stop_logging();
    return code;
}

} // namespace savoryscale::cli
