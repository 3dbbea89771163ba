#pragma once

// Checks the files of a TLS identity before a listener uses them.

#include "base/error.hpp"
#include "settings/settings.hpp"

#include <optional>

namespace savoryscale::settings {

// Reads both PEM files and checks that the key belongs to the certificate. Returns the first error;
// its `where_` is the settings member: "certificate_file" or "key_file".
std::optional<error> check_tls_files(const tls_identity& identity);

} // namespace savoryscale::settings
