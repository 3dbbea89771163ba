#pragma once

// The operators' commands on the two lists: pull, apply and status. Each takes what it works with,
// so that tests can run it on stand-ins.

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

// What the commands reach the platform with.
struct platform_access {
    store::object_client& objects_;
    store::host_list_client& hosts_;
    duration call_timeout_;
    random_source random_;
    std::function<void(duration)> sleep_;
    std::function<std::int64_t()> now_ms_; // wall clock, since the epoch
};

// Writes the lists in force, with their base, to `out`; without any, a file to start from. Returns
// exit_ok, or exit_unknown when the object API does not answer.
int pull_lists(platform_access& access, std::ostream& out, std::ostream& err);

// Applies the file and prints the verdict with its remedy. Returns exit_ok, exit_refused,
// exit_invalid or exit_unknown.
int apply_lists(platform_access& access, plans::edited_file file, bool dry_run, std::ostream& out,
                std::ostream& err);

// Prints who holds the accepted lists, as text or JSON; asks again until all hosts hold them or
// `wait` has passed. Returns exit_ok when all do, exit_failure when not, exit_unknown when the
// platform does not answer.
int show_status(platform_access& access, duration wait, bool as_json, std::ostream& out,
                std::ostream& err);

} // namespace savoryscale::cli
