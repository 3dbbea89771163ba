#pragma once

// Reads settings from JSON with comments.

#include "base/error.hpp"
#include "settings/settings.hpp"

#include <string_view>

namespace savoryscale::settings {

// Parses and validates the text of a settings file. `name` is the file name used in errors. Returns
// all errors found in one pass, each with the file, the JSON pointer and the remedy.
validated<settings> parse(std::string_view text, std::string_view name);

// Reads and parses the file. A file that cannot be read gives one error of kind not_found.
validated<settings> load(const std::string& file);

} // namespace savoryscale::settings
