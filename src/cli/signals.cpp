#include "cli/signals.hpp"

#include "http/event_loop.hpp"

#include <atomic>
#include <csignal>
#include <initializer_list>

namespace savoryscale::cli {

namespace {

// The signal handler may access only these.
std::atomic<int> stop_requests = 0;
std::atomic<int> reload_requests = 0;
std::atomic<http::event_loop*> loop_to_wake = nullptr;

void on_signal(int number)
{
    (number == SIGHUP ? reload_requests : stop_requests).fetch_add(1);
    if (http::event_loop* loop = loop_to_wake.load(); loop != nullptr) {
        loop->wake();
    }
}

void install_handler(std::initializer_list<int> numbers)
{
    struct sigaction action {};
    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART; // the settings may be being read
    for (const int number : numbers) {
        sigaction(number, &action, nullptr);
    }
}

} // namespace

void count_reload_signals()
{
    install_handler({SIGHUP});
}

void reset_reload_signals()
{
    std::signal(SIGHUP, SIG_DFL);
}

void wake_on_signals(http::event_loop& loop)
{
    loop_to_wake = &loop;
    install_handler({SIGTERM, SIGINT, SIGHUP});
    if (reload_requests > 0) {
        loop.wake();
    }
}

void stop_waking()
{
    loop_to_wake = nullptr;
}

int take_stop_requests()
{
    return stop_requests.exchange(0);
}

int take_reload_requests()
{
    return reload_requests.exchange(0);
}

} // namespace savoryscale::cli
