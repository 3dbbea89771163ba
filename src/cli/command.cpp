#include "cli/command.hpp"

#include "base/version.hpp"

#include <fmt/format.h>

#include <string_view>

namespace savoryscale::cli {

int run(std::span<char*> arguments)
{
    if (arguments.size() < 2) {
        fmt::print(stderr, "no command given; run 'savoryscale help'\n");
        return exit_invalid;
    }
    const std::string_view name{arguments[1]};
    if (name == "version") {
        fmt::print("savoryscale {}\n", product_version);
        return exit_ok;
    }
    fmt::print(stderr, "unknown command '{}'; run 'savoryscale help'\n", name);
    return exit_invalid;
}

} // namespace savoryscale::cli
