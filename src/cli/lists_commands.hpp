#pragma once

// The operators' commands for the two lists: pull, apply and status. Each gets its clients and
// clock as arguments, so that tests can run it against stand-ins.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "plans/edited_file.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>

namespace savoryscale::store {
class object_client;
class host_list_client;
} // namespace savoryscale::store

namespace savoryscale::cli {

// Clients, timing and randomness that the commands use for calls to the platform.
struct platform_access {
    store::object_client& objects_;
    store::host_list_client& hosts_;
    duration call_timeout_;
    random_source random_;
    std::function<void(duration)> sleep_;
    std::function<std::int64_t()> now_ms_; // wall clock, since the epoch
};

// Writes the current lists and their base version to `out`, or a template when there are none.
// Returns exit_ok, or exit_unknown when the object API does not answer.
int pull_lists(platform_access& access, std::ostream& out, std::ostream& err);

// Applies the file and prints the outcome with its remedy. Returns exit_ok, exit_refused,
// exit_invalid or exit_unknown.
int apply_lists(platform_access& access, plans::edited_file file, bool dry_run, std::ostream& out,
                std::ostream& err);

// Prints which hosts hold the accepted lists, as text or JSON. Polls until all hosts hold them or
// `wait` has passed. Returns exit_ok when all hold them, exit_failure when some do not,
// exit_unknown when the platform does not answer.
int show_status(platform_access& access, duration wait, bool as_json, std::ostream& out,
                std::ostream& err);

} // namespace savoryscale::cli
