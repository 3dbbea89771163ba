// Fuzzes the traceparent parser: a header that parses is formatted with the same ids.

#include "telemetry/trace_context.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace savoryscale::telemetry;
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto parsed = parse_traceparent(text);
    if (!parsed) {
        return 0;
    }
    constexpr std::size_t ids_begin = 2;
    constexpr std::size_t ids_length = 51;
    const std::string printed = format_traceparent(*parsed);
    if (printed.substr(ids_begin, ids_length) != text.substr(ids_begin, ids_length)) {
        std::abort();
    }
    return 0;
}
