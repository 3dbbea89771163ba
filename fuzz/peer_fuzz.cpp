// Fuzzes the parser of peer messages: any input gives a message within the bounds or an error with
// a remedy, and a parsed message is the same after writing and reading it again.

#include "peer/wire.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace savoryscale;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void check_payload(const peer::fact& each)
{
    require(each.payload_.size() <= peer::max_payload_bytes);
    require(each.subject_.size() <= peer::max_name_bytes);
    if (each.kind_ == peer::fact_kind::host) {
        static_cast<void>(peer::parse_host_state(each.payload_));
    }
    else if (each.kind_ == peer::fact_kind::host_list) {
        static_cast<void>(peer::parse_host_list(each.payload_));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    const result<peer::message> read = peer::parse_message(bytes);
    if (!read) {
        require(!read.error().remedy_.empty());
        return 0;
    }
    for (const peer::fact& each : read->facts_) {
        check_payload(each);
    }
    require(read->references_.size() <= peer::max_references);
    if (read->kind_ != peer::message_kind::digest) {
        peer::message plain = *read;
        plain.digest_ = {}; // only written in digest messages
        const std::string again = peer::encode(plain);
        if (again.size() <= peer::max_message_bytes) {
            const result<peer::message> second = peer::parse_message(again);
            // A share without a resource is not written, so shares are not compared.
            require(second.has_value());
            require(second->facts_ == plain.facts_ && second->references_ == plain.references_);
        }
    }
    return 0;
}
