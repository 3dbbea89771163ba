#pragma once

// The signals of a host that runs one event loop: SIGTERM and SIGINT ask it to stop, SIGHUP to
// reload its settings. They are counted until the loop takes them.

namespace savoryscale::http {
class event_loop;
} // namespace savoryscale::http

namespace savoryscale::cli {

// Counts SIGHUP from now on, which would otherwise end the process. Call it first, since a reload
// can be asked for while the host still starts.
void count_reload_signals();

// SIGHUP has its default effect again.
void reset_reload_signals();

// Counts all three, and wakes the loop for each, also for those that came before.
void wake_on_signals(http::event_loop& loop);

// Call before the loop is destroyed.
void stop_waking();

// The signals since the last call.
int take_stop_requests();
int take_reload_requests();

} // namespace savoryscale::cli
