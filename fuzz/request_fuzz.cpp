// Fuzzes the reader of callers' requests: whole, and cut into pieces, which must read the same.

#include "read_messages.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    savoryscale::fuzz::check_reading<savoryscale::http::request_head>(data, size);
    return 0;
}
