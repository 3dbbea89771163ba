#pragma once

// The serve subcommand: runs one entry host until it is told to stop.

#include <string>

namespace savoryscale::settings {
struct settings;
}

namespace savoryscale::cli {

// Runs until a first SIGTERM or SIGINT has stopped it gracefully or a second one has forced it.
// Returns the exit code. `settings_file` is read again when the process is told that it has
// changed.
int serve(const settings::settings& config, const std::string& settings_file);

} // namespace savoryscale::cli
