#include "cli/serve_command.hpp"

#include "cli/command.hpp"
#include "cli/serve.hpp"
#include "cli/settings_flag.hpp"

#include <ostream>

namespace savoryscale::cli {

int run_serve(std::span<const std::string> /*operands*/, std::ostream& /*out*/, std::ostream& err)
{
    const auto config = load_flagged_settings(err);
    return config ? serve(*config, flagged_settings_file()) : static_cast<int>(exit_invalid);
}

} // namespace savoryscale::cli
