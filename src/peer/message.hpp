#pragma once

// Messages between entry hosts as plain structs; peer/wire.hpp turns them into bytes.

#include "peer/fact_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryscale::peer {

// The values are on the wire and never reused.
enum class message_kind : std::uint8_t {
    unknown = 0, // of a newer release; ignored
    heartbeat = 1,
    heartbeat_reply = 2,
    facts = 3,       // facts_: new to the sender, or asked for
    offer = 4,       // references_: large facts that the sender can be asked for
    digest = 5,      // digest_: of the sender's table
    references = 6,  // references_: every fact of the sender in buckets_
    want = 7,        // references_: facts that the sender asks for
    share_ask = 8,   // share_: the amount that the sender could use
    share_grant = 9, // share_: the amount given, for the nonce of the ask
};

// A request for a part of the receiver's share of a resource, or the answer to one.
struct share_message {
    std::string resource_;
    std::uint64_t nonce_ = 0; // chosen by the asker, never reused
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
