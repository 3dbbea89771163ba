#pragma once

// The name of a target in what hosts tell each other of crashes. All hosts name one lifetime of a
// target alike, and two lifetimes differently, also if the target keeps its id.

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::admission {

// `address`: "ip:port". `born_ms`: start time since the Unix epoch; 0: not known.
std::string shared_target_name(std::string_view address, std::string_view id,
                               std::uint64_t born_ms);

} // namespace savoryscale::admission
