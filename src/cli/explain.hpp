#pragma once

// The subcommand `explain`: asks a running host what it would do with a request now.

#include <iosfwd>
#include <span>
#include <string>

namespace savoryscale::cli {

int run_explain(std::span<const std::string> operands, std::ostream& out, std::ostream& err);

} // namespace savoryscale::cli
