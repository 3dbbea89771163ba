#pragma once

// Subcommands of the savoryscale program.

#include <iosfwd>
#include <span>

namespace savoryscale::cli {

// Exit codes that scripts may rely on.
enum exit_code : int {
    exit_ok = 0,
    exit_failure = 1,
    exit_invalid = 2,
    exit_refused = 3,
    exit_unknown = 4,
};

// Runs the subcommand that arguments[1] names; returns the exit code. Results go to `out`, errors
// to `err`.
int run(std::span<char*> arguments, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
