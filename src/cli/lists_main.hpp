#pragma once

// Entry points of pull, apply and status: read the flags and the settings file, and connect to the
// platform.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

// Flags: settings, out.
int run_pull(std::span<const std::string> operands, std::ostream& out, std::ostream& err);

// Flags: settings, dry_run. One operand: the file.
int run_apply(std::span<const std::string> operands, std::ostream& out, std::ostream& err);

// Flags: settings, wait, json.
int run_status(std::span<const std::string> operands, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
