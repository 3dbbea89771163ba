#pragma once

// Checks the files of a TLS identity before anything listens with them.

#include "base/error.hpp"
#include "settings/settings.hpp"

#include <optional>

namespace savoryscale::settings {

// Reads both PEM files and checks that the key belongs to the certificate. Returns the first fault;
// its `where_` is the member concerned: "certificate_file" or "key_file".
std::optional<error> check_tls_files(const tls_identity& identity);

} // namespace savoryscale::settings
