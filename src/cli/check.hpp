#pragma once

// The check subcommand: validates files without acting on them.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

// Validates each file and reports every fault of all of them to `err`. Returns exit_ok or
// exit_invalid.
int check(std::span<const std::string> files, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
