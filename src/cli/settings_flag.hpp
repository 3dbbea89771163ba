#pragma once

// The flag --settings, shared by the subcommands that need settings.

#include "settings/settings.hpp"

#include <iosfwd>
#include <optional>
#include <string>

namespace savoryscale::cli {

// The settings in the file that --settings names. Without a value every fault goes to `err`.
std::optional<settings::settings> load_flagged_settings(std::ostream& err);

// The file that --settings names.
const std::string& flagged_settings_file();

} // namespace savoryscale::cli
