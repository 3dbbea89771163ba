#pragma once

// Parses the arguments of one subcommand: flags, whose values gflags stores, and operands.

#include "base/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::cli {

// Sets the flags among the arguments and returns the operands. Flags are written --name=value,
// --name value, or --name and --noname for Booleans; "--" ends the flags. `allowed` lists the flags
// of the subcommand as gflags names them, with underscores. Returns all errors.
validated<std::vector<std::string>> parse_arguments(std::span<char*> arguments,
                                                    std::span<const std::string_view> allowed);

// The flag as users write it: two hyphens, and hyphens for underscores.
std::string flag_text(std::string_view name);

} // namespace savoryscale::cli
