// Fuzzes the reader of callers' requests: whole, and cut into pieces, which must read the same.

#include "http/head.hpp"
#include "http/message_reader.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace savoryscale::http;

namespace {

constexpr std::uint32_t header_max_bytes = 16384;

struct outcome {
    bool valid_ = true;
    std::size_t messages_ = 0;
    std::string heads_;
    std::string bodies_;

    friend bool operator==(const outcome&, const outcome&) = default;
};

// Reads all requests in the text, `step` bytes at a time.
outcome read_all(std::string_view text, std::size_t step)
{
    message_reader<request_head> reader{header_max_bytes};
    outcome seen;
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
                const request_head head = reader.take_head();
                seen.heads_ += head.method_ + ' ' + head.target_;
                for (const header_field& field : head.fields_) {
                    seen.heads_ += '|' + field.name_ + ':' + field.value_;
                }
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

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const outcome whole = read_all(text, std::max<std::size_t>(size, 1));
    const outcome pieces = read_all(text, 7);
    if (whole.valid_ && pieces.valid_ && !(whole == pieces)) {
        std::abort();
    }
    return 0;
}
