#pragma once

// The check subcommand: validates files without applying them.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

// Validates each file as settings or as the two lists, depending on its keys, and writes all errors
// in all files to `err`. When there are settings among the files, the lists may name only the
// services of these settings. Returns exit_ok or exit_invalid.
int check(std::span<const std::string> files, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
