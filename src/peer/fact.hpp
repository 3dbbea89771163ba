#pragma once

// Versioned facts that entry hosts exchange. For one kind and subject the highest version wins, so
// that merging is commutative and idempotent.

#include <cstdint>
#include <string>

namespace savoryscale::peer {

// Facts of unknown kinds, from newer releases, are stored and forwarded without being interpreted.
enum class fact_kind : std::uint8_t {
    configuration = 1, // subject: ""; version: of the lists; payload: their canonical text
    target_drain = 2,  // subject: "service/ip:port"; version: see
                       // membership/target_view.cpp; payload: ""
    suspicion = 3,     // subject: request fingerprint, hexadecimal; version: crashes observed;
                       // payload: targets
    host = 4,          // subject: host id; version: incarnation and counter; payload:
                       // peer/host_state.hpp
    host_list = 5,     // subject: ""; version: milliseconds since the epoch when it was read;
                       // payload: peer/wire.hpp
};

// One fact. A fact with a lifetime is removed that long after it was received.
struct fact {
    fact_kind kind_ = fact_kind::host;
    std::string subject_;
    std::uint64_t version_ = 0;
    std::string payload_;
    std::uint32_t lifetime_s_ = 0; // 0: kept until replaced by a newer version

    friend bool operator==(const fact&, const fact&) = default;
};

} // namespace savoryscale::peer
