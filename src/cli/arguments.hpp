#pragma once

// The arguments of one subcommand: flags, kept by gflags, and operands.

#include "base/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::cli {

// Sets the flags that stand among the arguments and returns the operands. Flags are written
// --name=value, --name value, or --name and --noname for truth values; "--" ends them. `allowed`
// names the flags of the subcommand as gflags does, with underscores. Returns every fault.
checked<std::vector<std::string>> parse_arguments(std::span<char*> arguments,
                                                  std::span<const std::string_view> allowed);

// The name of a flag as users write it.
std::string flag_text(std::string_view name);

} // namespace savoryscale::cli
