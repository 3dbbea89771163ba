#pragma once

// Messages between entry hosts as plain structs. See peer/wire.hpp for their encoding.

#include "peer/fact_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::peer {

// The values are sent on the wire and must never be reused.
enum class message_kind : std::uint8_t {
    unknown = 0, // from a newer release; ignored
    heartbeat = 1,
    heartbeat_reply = 2,
    facts = 3,         // facts_: new to the sender, or requested
    offer = 4,         // references_: large facts that the sender can provide
    digest = 5,        // digest_: of the sender's table
    references = 6,    // references_: every fact of the sender in buckets_
    fetch = 7,         // references_: facts that the sender requests
    share_request = 8, // share_: the amount that the sender can use
    share_grant = 9,   // share_: the amount granted, with the nonce of the request
};

// A request for part of the receiver's share of a resource, or the reply to it.
struct share_message {
    std::string resource_;
    std::uint64_t nonce_ = 0; // chosen by the requester, never reused
    std::uint64_t amount_ = 0;

    friend bool operator==(const share_message&, const share_message&) = default;
};

struct message {
    message_kind kind_ = message_kind::unknown;
    std::string sender_; // host id
    std::vector<fact> facts_;
    std::vector<fact_reference> references_;
    table_digest digest_{};
    std::uint32_t buckets_ = 0; // one bit for each bucket
    share_message share_;

    friend bool operator==(const message&, const message&) = default;
};

} // namespace savoryscale::peer
