#pragma once

// Strict reading of the bytes that a caller receives on a connection.

#include "support/running_routed_host.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::testing {

// Takes one answer from the front and returns its body; none if the bytes do not begin with a
// complete answer.
inline std::optional<std::string> take_answer(std::string& bytes, bool has_body = true)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const std::size_t body_at = bytes.find(end_of_head) + end_of_head.size();
    if (!bytes.starts_with("HTTP/1.1 ") || body_at < end_of_head.size()) {
        return std::nullopt;
    }
    const std::string head = bytes.substr(0, body_at);
    bytes.erase(0, body_at);
    std::string body;
    if (!has_body) {
        return body;
    }
    if (const std::string length = field_of(head, "Content-Length"); !length.empty()) {
        body = bytes.substr(0, std::stoul(length));
        bytes.erase(0, body.size());
        return body.size() == std::stoul(length) ? std::optional{body} : std::nullopt;
    }
    if (field_of(head, "Transfer-Encoding") != "chunked") {
        return std::nullopt;
    }
    while (true) {
        const std::size_t line_end = bytes.find("\r\n");
        if (line_end == std::string::npos || line_end == 0) {
            return std::nullopt;
        }
        const std::size_t size = std::stoul(bytes.substr(0, line_end), nullptr, 16);
        if (bytes.substr(line_end + 2 + size, 2) != "\r\n") {
            return std::nullopt;
        }
        body += bytes.substr(line_end + 2, size);
        bytes.erase(0, line_end + 2 + size + 2);
        if (size == 0) {
            return body;
        }
    }
}

} // namespace savoryscale::testing
