#pragma once

// Encoding of the directory feed between entry hosts.

#include "base/error.hpp"
#include "directory/feed_page.hpp"

#include <string>
#include <string_view>

namespace savoryscale::peer {

// Encodes a page. A large desired state is compressed.
std::string write_feed_page(const directory::feed_page& page);

// Decodes a page without the targets and suspicions that are malformed. Errors: invalid, when it
// does not parse or any other field exceeds its limit.
result<directory::feed_page> read_feed_page(std::string_view bytes);

} // namespace savoryscale::peer
