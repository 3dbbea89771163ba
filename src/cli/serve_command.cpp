#include "cli/serve_command.hpp"

#include "cli/command.hpp"
#include "cli/serve.hpp"
#include "cli/settings_flag.hpp"
#include "cli/signals.hpp"

#include <ostream>

namespace savoryscale::cli {

int run_serve(std::span<const std::string> /*operands*/, std::ostream& /*out*/, std::ostream& err)
{
    count_reload_signals();
    const auto config = load_settings_from_flag(err);
    return config ? serve(*config, settings_file_from_flag()) : static_cast<int>(exit_invalid);
}

} // namespace savoryscale::cli
