// The savoryscale program: runs the subcommand that the first argument names.

#include "cli/command.hpp"
#include "directory/dialect.hpp"
#include "platform/deployment.hpp"
#include "platform/dialect.hpp"
#include "settings/deployment.hpp"

#include <iostream>
#include <span>

int main(int argc, char** argv)
{
    savoryscale::directory::install_dialect(platform::dialect());
    savoryscale::settings::install_deployment_reader(platform::read_deployment);
    const std::span<char*> arguments{argv, static_cast<std::size_t>(argc)};
    return savoryscale::cli::run(arguments, std::cout, std::cerr);
}
