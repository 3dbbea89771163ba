#pragma once

// Heads of HTTP/1.1 messages as received.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::http {

// One header field, in the sender's spelling.
struct header_field {
    std::string name_;
    std::string value_;
};

// Common to requests and answers: the fields and the framing they declare.
struct message_head {
    std::vector<header_field> fields_;
    std::optional<std::uint64_t> content_length_;
    bool chunked_ = false;
    bool keep_alive_ = true;
    unsigned version_ = 11; // 10 or 11
};

struct request_head : message_head {
    std::string method_;
    std::string target_; // path and query
};

struct answer_head : message_head {
    int status_ = 0;
    std::string reason_;
};

// Value of the first field with this name, ignoring case; empty if there is none.
std::string_view find_field(const message_head& head, std::string_view name);

// Whether a field with this name is present, ignoring case.
bool has_field(const message_head& head, std::string_view name);

// Bytes of memory that the head occupies; many short fields need far more than they have bytes.
std::size_t held_bytes(const request_head& head);

// Whether two strings are equal, ignoring ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

} // namespace savoryscale::http
