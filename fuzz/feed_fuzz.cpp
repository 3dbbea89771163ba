// Fuzzes the parsers of what peers send about the directory and about grants: any input gives a
// page within the bounds or an error with a remedy, and a parsed page is the same after writing and
// reading it again.

#include "directory/feed_server.hpp"
#include "peer/allotment_wire.hpp"
#include "peer/feed_wire.hpp"
#include "peer/grant_wire.hpp"
#include "peer/suspicion_wire.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace savoryscale;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    if (const auto position = directory::read_feed_path(bytes)) {
        const auto again = directory::read_feed_path(directory::feed_path(*position));
        require(again && again->sequence_ == position->sequence_);
    }
    if (const auto wished = peer::read_grant_path(bytes)) {
        const auto again = peer::read_grant_path(peer::write_grant_path(*wished));
        require(again && again->wishes_.size() == wished->wishes_.size());
    }
    if (const auto suspicions = peer::read_suspicions_path(bytes)) {
        const auto again = peer::read_suspicions_path(peer::write_suspicions_path(*suspicions));
        require(again && again->size() <= suspicions->size());
    }
    if (const auto report = peer::read_allotment_path(bytes)) {
        require(peer::read_allotment_path(peer::write_allotment_path(*report)) == *report);
    }
    if (const auto answer = peer::read_allotment_answer(bytes)) {
        require(peer::read_allotment_answer(peer::write_allotment_answer(*answer)) == *answer);
    }
    if (const auto answer = peer::read_grant_answer(bytes)) {
        require(peer::read_grant_answer(peer::write_grant_answer(*answer)) == *answer);
    }
    const auto page = peer::read_feed_page(bytes);
    if (!page) {
        require(!page.error().remedy_.empty());
        return 0;
    }
    const auto again = peer::read_feed_page(peer::write_feed_page(*page));
    require(again.has_value());
    require(again->targets_.size() == page->targets_.size());
    require(again->document_ == page->document_);
    return 0;
}
