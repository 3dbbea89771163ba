#pragma once

// Encoding of the requests for grants that entry hosts send each other; see
// routing/limit_granter.hpp. The request is the path of a GET, the answer a line of text.

#include "base/error.hpp"
#include "routing/limit_granter.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace savoryscale::peer {

inline constexpr std::string_view grant_path_prefix = "/grant?";
inline constexpr std::size_t grant_wishes_max = 8;

// "/grant?PRIORITY;TARGET=PER_SECOND@AGE_MS;...".
std::string write_grant_path(const routing::grant_request& request);

// Errors: invalid, when it does not parse or a value exceeds its limit.
result<routing::grant_request> read_grant_path(std::string_view path);

// "granted INDEX", or "denied WAIT_MS ..." with the wait of each wish.
std::string write_grant_answer(const routing::grant_answer& answer);
result<routing::grant_answer> read_grant_answer(std::string_view text);

} // namespace savoryscale::peer
