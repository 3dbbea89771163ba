#pragma once

// The facts that one host holds: the newest version of each kind and subject. Merging is
// commutative, associative and idempotent, so hosts that have received the same facts in any order
// hold the same table.

#include "base/clock.hpp"
#include "peer/fact.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace savoryscale::peer {

// Identifies what a fact is about.
struct fact_key {
    fact_kind kind_ = fact_kind::host;
    std::string subject_;

    friend bool operator==(const fact_key&, const fact_key&) = default;
    friend bool operator<(const fact_key& left, const fact_key& right)
    {
        return std::tie(left.kind_, left.subject_) < std::tie(right.kind_, right.subject_);
    }
};

// Identifies one version of a fact, without its payload.
struct fact_reference {
    fact_key key_;
    std::uint64_t version_ = 0;
    std::uint32_t payload_hash_ = 0;

    friend bool operator==(const fact_reference&, const fact_reference&) = default;
};

// A fact with the time at which this host removes it; time_point::max() if never.
struct held_fact {
    fact fact_;
    std::uint32_t payload_hash_ = 0;
    time_point expires_;
};

// Limits of a table. A new fact that would exceed the count or total size evicts facts of its kind
// that expire earlier; if there are not enough of them, it is refused. A newer version of a held
// fact evicts nothing and must fit into bytes_.
struct fact_limits {
    std::size_t facts_per_kind_ = 2048;
    std::size_t bytes_ = std::size_t{8} * 1024 * 1024;
    std::size_t payload_bytes_ = std::size_t{1024} * 1024;
    std::size_t subject_bytes_ = 256;
};

// Result of merging one fact.
enum class merge_result : std::uint8_t {
    changed,   // the fact was stored
    unchanged, // the table already held it or a newer version
    refused,   // the fact would exceed the limits
};

inline constexpr std::size_t digest_buckets = 32;

// One hash per bucket of keys. Equal digests mean equal tables.
using table_digest = std::array<std::uint64_t, digest_buckets>;

struct fact_table {
    fact_limits limits_;
    std::map<fact_key, held_fact> facts_;
    std::size_t bytes_ = 0;
};

// Merges one fact received at `now`. For one key the higher version wins, and for equal versions
// the greater payload, so that the order of arrival does not matter.
merge_result merge(fact_table& table, const fact& received, time_point now);

// Removes the expired facts and returns them.
std::vector<fact> expire(fact_table& table, time_point now);

// Returns the fact with this key, or nullptr.
const fact* find(const fact_table& table, const fact_key& key);

// Returns all facts of a kind, sorted by subject.
std::vector<fact> facts_of(const fact_table& table, fact_kind kind);

// Returns the fact as sent at `now`, with its remaining lifetime rounded down to whole seconds. The
// rounding shortens the lifetime with each hop, so that a fact cannot circulate for ever.
fact with_remaining_lifetime(const held_fact& held, time_point now);

// Whether enough of the fact's lifetime remains for it to be sent.
bool is_sendable(const held_fact& held, time_point now);

// Returns the bucket of a key, which is below digest_buckets.
std::size_t bucket_of(const fact_key& key);

// Returns the digest of all sendable facts.
table_digest digest_of(const fact_table& table, time_point now);

// Returns references to the sendable facts in the buckets whose bit is set.
std::vector<fact_reference> references_of(const fact_table& table, std::uint32_t buckets,
                                          time_point now);

// Returns the payload hash used in references.
std::uint32_t payload_hash(std::string_view payload);

} // namespace savoryscale::peer
