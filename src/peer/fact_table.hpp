#pragma once

// The facts one host holds: the newest of each kind and subject. Merging is commutative,
// associative and idempotent, so hosts that have heard the same facts in any order hold the same
// table.

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

// What a fact is about.
struct fact_key {
    fact_kind kind_ = fact_kind::host;
    std::string subject_;

    friend bool operator==(const fact_key&, const fact_key&) = default;
    friend bool operator<(const fact_key& left, const fact_key& right)
    {
        return std::tie(left.kind_, left.subject_) < std::tie(right.kind_, right.subject_);
    }
};

// Names one fact without its payload.
struct fact_reference {
    fact_key key_;
    std::uint64_t version_ = 0;
    std::uint32_t payload_hash_ = 0;

    friend bool operator==(const fact_reference&, const fact_reference&) = default;
};

// A fact with the time at which this host forgets it; time_point::max() for never.
struct held_fact {
    fact fact_;
    std::uint32_t payload_hash_ = 0;
    time_point expires_;
};

// Bounds of a table. A fact that would go over them is refused, unless it replaces an older one of
// its key or a fact of its kind with an earlier end can make room.
struct fact_limits {
    std::size_t facts_per_kind_ = 2048;
    std::size_t bytes_ = std::size_t{8} * 1024 * 1024;
    std::size_t payload_bytes_ = std::size_t{1024} * 1024;
    std::size_t subject_bytes_ = 256;
};

// What merging one fact did.
enum class merge_result : std::uint8_t {
    changed,   // the table now holds it
    unchanged, // the table already held it, or a newer one
    refused,   // it breaks the limits
};

inline constexpr std::size_t digest_buckets = 32;

// One hash per bucket of keys; equal digests mean equal tables.
using table_digest = std::array<std::uint64_t, digest_buckets>;

struct fact_table {
    fact_limits limits_;
    std::map<fact_key, held_fact> facts_;
    std::size_t bytes_ = 0;
};

// Merges one fact heard at `now`. For one key the higher version wins; of equal versions the
// greater payload, so that the order of arrival does not matter.
merge_result merge(fact_table& table, const fact& heard, time_point now);

// Forgets the facts whose lifetime has passed; returns them.
std::vector<fact> expire(fact_table& table, time_point now);

// The fact of a key, or nullptr.
const fact* find(const fact_table& table, const fact_key& key);

// All facts of a kind, sorted by subject.
std::vector<fact> facts_of(const fact_table& table, fact_kind kind);

// The fact as it is sent at `now`: its lifetime reduced to the whole seconds left. The rounding
// makes each sending lose time, so that a fact with an end cannot circulate for ever.
fact with_remaining_lifetime(const held_fact& held, time_point now);

// Whether a fact still has enough lifetime left to be worth telling.
bool is_tellable(const held_fact& held, time_point now);

// The bucket that a key belongs to, below digest_buckets.
std::size_t bucket_of(const fact_key& key);

// The digest of all tellable facts.
table_digest digest_of(const fact_table& table, time_point now);

// References to the tellable facts of the buckets whose bit is set.
std::vector<fact_reference> references_of(const fact_table& table, std::uint32_t buckets,
                                          time_point now);

// Hash of a payload as references carry it.
std::uint32_t payload_hash(std::string_view payload);

} // namespace savoryscale::peer
