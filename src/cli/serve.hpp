#pragma once

// The serve subcommand: runs one entry host until it is stopped.

#include <string>

namespace savoryscale::settings {
struct settings;
}

namespace savoryscale::cli {

// Runs until a first SIGTERM or SIGINT has stopped it gracefully or a second one has forced the
// stop. Returns the exit code. A host that follows a directory rereads `settings_file` on SIGHUP
// and when no peer answers.
int serve(const settings::settings& config, const std::string& settings_file);

} // namespace savoryscale::cli
