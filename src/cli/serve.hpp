#pragma once

// The serve subcommand: runs one entry host until it is told to stop.

namespace savoryscale::settings {
struct settings;
}

namespace savoryscale::cli {

// Runs until a first SIGTERM or SIGINT has stopped it gracefully or a second one has forced it.
// Returns the exit code.
int serve(const settings::settings& config);

} // namespace savoryscale::cli
