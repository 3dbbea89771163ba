#pragma once

// The check subcommand: validates files without acting on them.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

// Validates each file, settings or the two lists, whichever its keys show, and reports every fault
// of all of them to `err`. When settings are among them, the lists may name only their services.
// Returns exit_ok or exit_invalid.
int check(std::span<const std::string> files, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
