#include "cli/check.hpp"

#include "cli/command.hpp"
#include "settings/parse.hpp"

#include <ostream>

namespace savoryscale::cli {

int check(std::span<const std::string> files, std::ostream& out, std::ostream& err)
{
    int code = exit_ok;
    for (const std::string& file : files) {
        const auto settings = settings::load(file);
        if (settings) {
            out << file << ": valid settings\n";
            continue;
        }
        code = exit_invalid;
        for (const error& fault : settings.error()) {
            err << to_string(fault) << '\n';
        }
    }
    return code;
}

} // namespace savoryscale::cli
