// The savoryscale program: picks the subcommand and runs it.

#include "cli/command.hpp"

#include <span>

int main(int argc, char** argv)
{
    return savoryscale::cli::run(std::span<char*>{argv, static_cast<std::size_t>(argc)});
}
