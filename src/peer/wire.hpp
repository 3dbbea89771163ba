#pragma once

// Encoding and decoding of messages and payloads. Sizes are checked before received data is used.
// Fields and kinds of newer releases are skipped.

#include "base/error.hpp"
#include "peer/host_state.hpp"
#include "peer/message.hpp"
#include "store/host_list.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::peer {

// Limits for data received from a peer.
inline constexpr std::size_t max_message_bytes = std::size_t{1280} * 1024;
inline constexpr std::size_t max_payload_bytes = std::size_t{1024} * 1024;
inline constexpr std::size_t max_name_bytes = 256;
inline constexpr std::size_t max_facts = 4096;
inline constexpr std::size_t max_references = 16384;
inline constexpr std::size_t max_listed_hosts = 16384;

// Encodes a message. Large payloads are compressed.
std::string encode(const message& value);

// Parses and validates one message. Errors: invalid, if it does not parse or exceeds a limit.
result<message> parse_message(std::string_view bytes);

std::string encode(const host_state& value);

// Parses the state that a host publishes about itself. Errors: invalid.
result<host_state> parse_host_state(std::string_view bytes);

std::string encode(const std::vector<store::listed_host>& hosts);

// Parses the platform's host list as received from a peer. Errors: invalid.
result<std::vector<store::listed_host>> parse_host_list(std::string_view bytes);

} // namespace savoryscale::peer
