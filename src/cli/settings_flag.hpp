#pragma once

// The flag --settings, shared by the subcommands that need settings.

#include "settings/settings.hpp"

#include <iosfwd>
#include <optional>
#include <string>

namespace savoryscale::cli {

// Loads the file that --settings names. On failure writes all errors to `err` and returns no value.
std::optional<settings::settings> load_settings_from_flag(std::ostream& err);

// The file that --settings names.
const std::string& settings_file_from_flag();

} // namespace savoryscale::cli
