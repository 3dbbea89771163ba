#pragma once

// Messages that tell another entry host of requests that crashed targets: the path of a request,
// and the answer to a path without any, which asks for what the other host knows.

#include "base/error.hpp"
#include "peer/fact.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::peer {

inline constexpr std::string_view suspicions_path_prefix = "/suspicions?";
inline constexpr std::size_t suspicions_path_max = 7000; // bytes, within the limit of a head

inline constexpr std::size_t suspicions_answer_max = 60000; // bytes

// Write as many as fit, from the first on.
std::string write_suspicions_path(std::span<const fact> suspicions);
std::string write_suspicions(std::span<const fact> suspicions, std::size_t bytes_max);

// Errors: invalid, when any part of it is malformed.
result<std::vector<fact>> read_suspicions_path(std::string_view path);
result<std::vector<fact>> read_suspicions(std::string_view text);

} // namespace savoryscale::peer
