#pragma once

// Entry point of the serve subcommand.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

// Loads the settings that --settings names and serves until stopped. Errors in the settings go
// to `err`. Returns the exit code.
int run_serve(std::span<const std::string> operands, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
