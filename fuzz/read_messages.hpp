#pragma once

// Reads all messages in a text with the reader under test, and checks what it accepts.

#include "http/head.hpp"
#include "http/message_reader.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <type_traits>

namespace savoryscale::fuzz {

// What a reader made of a text.
struct read_outcome {
    bool valid_ = true;
    std::size_t messages_ = 0;
    std::string heads_;
    std::string bodies_;

    friend bool operator==(const read_outcome&, const read_outcome&) = default;
};

// A token of RFC 9110, 5.6.2.
inline bool is_token(std::string_view text)
{
    constexpr std::string_view letters = "0123456789abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~";
    return !text.empty() && text.find_first_not_of(letters) == std::string_view::npos;
}

// Aborts on a head that a reader must not accept. Returns it as text.
template<class Head>
std::string checked_text(const Head& head)
{
    std::string text;
    if constexpr (std::is_same_v<Head, http::answer_head>) {
        if (head.status_ < 100 || head.status_ > 599) {
            std::abort();
        }
        text = std::to_string(head.status_) + ' ' + head.reason_;
    }
    else {
        text = head.method_ + ' ' + head.target_;
    }
    for (const http::header_field& field : head.fields_) {
        if (!is_token(field.name_)) {
            std::abort();
        }
        text += '|' + field.name_ + ':' + field.value_;
    }
    return text;
}

// Reads the text `step` bytes at a time.
template<class Head>
read_outcome read_all(std::string_view text, std::size_t step)
{
    constexpr std::uint32_t header_max_bytes = 16384;
    http::message_reader<Head> reader{header_max_bytes};
    read_outcome seen;
    bool counted = false;
    while (seen.valid_ && !text.empty()) {
        const std::string_view piece = text.substr(0, step);
        text.remove_prefix(piece.size());
        std::string_view bytes = piece;
        for (bool more = true; more && seen.valid_;) {
            seen.valid_ = reader.feed(bytes, seen.bodies_).has_value();
            bytes = {};
            if (seen.valid_ && reader.has_head() && !counted) {
                counted = true;
                seen.heads_ += checked_text(reader.take_head());
            }
            more = seen.valid_ && reader.complete();
            if (more) {
                ++seen.messages_;
                counted = false;
                reader.next();
            }
        }
    }
    return seen;
}

// Aborts if the text reads differently whole and in pieces.
template<class Head>
void check_reading(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const read_outcome whole = read_all<Head>(text, std::max<std::size_t>(size, 1));
    const read_outcome pieces = read_all<Head>(text, 7);
    if (whole.valid_ && pieces.valid_ && !(whole == pieces)) {
        std::abort();
    }
}

} // namespace savoryscale::fuzz
