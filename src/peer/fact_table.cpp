#include "peer/fact_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace savoryscale::peer {

namespace {

// Approximate memory use of one map node without its strings, in bytes.
constexpr std::size_t fact_overhead_bytes = 160;

// Facts with a shorter remaining lifetime are no longer sent.
constexpr duration min_sendable_lifetime = std::chrono::seconds{2};

std::size_t size_of(const fact& value)
{
    // The key holds a second copy of the subject.
    return fact_overhead_bytes + 2 * value.subject_.size() + value.payload_.size();
}

time_point expiry_of(const fact& received, time_point now)
{
    if (received.lifetime_s_ == 0) {
        return time_point::max();
    }
    return now + std::chrono::seconds{received.lifetime_s_};
}

bool breaks_size_limits(const fact_limits& limits, const fact& received)
{
    return received.payload_.size() > limits.payload_bytes_ ||
           received.subject_.size() > limits.subject_bytes_;
}

// Returns the fact of the kind that expires first, or end() if none of them expires.
std::map<fact_key, held_fact>::iterator first_to_expire(fact_table& table, fact_kind kind)
{
    auto first = table.facts_.end();
    for (auto it = table.facts_.lower_bound({kind, ""});
         it != table.facts_.end() && it->first.kind_ == kind; ++it) {
        if (it->second.expires_ != time_point::max() &&
            (first == table.facts_.end() || it->second.expires_ < first->second.expires_)) {
            first = it;
        }
    }
    return first;
}

std::size_t count_of(const fact_table& table, fact_kind kind)
{
    std::size_t count = 0;
    for (auto it = table.facts_.lower_bound({kind, ""});
         it != table.facts_.end() && it->first.kind_ == kind; ++it) {
        ++count;
    }
    return count;
}

// Makes room for a new fact of `size` bytes by evicting facts of its kind that expire earlier.
bool make_room(fact_table& table, fact_kind kind, std::size_t size, time_point expires)
{
    while (count_of(table, kind) >= table.limits_.facts_per_kind_ ||
           table.bytes_ + size > table.limits_.bytes_) {
        const auto victim = first_to_expire(table, kind);
        if (victim == table.facts_.end() || victim->second.expires_ >= expires) {
            return false;
        }
        table.bytes_ -= size_of(victim->second.fact_);
        table.facts_.erase(victim);
    }
    return true;
}

merge_result insert(fact_table& table, const fact_key& key, const fact& received, time_point now)
{
    const time_point expires = expiry_of(received, now);
    if (!make_room(table, key.kind_, size_of(received), expires)) {
        return merge_result::refused;
    }
    table.bytes_ += size_of(received);
    table.facts_.emplace(key, held_fact{received, payload_hash(received.payload_), expires});
    return merge_result::changed;
}

merge_result replace(fact_table& table, held_fact& held, const fact& received, time_point now)
{
    const std::size_t bytes = table.bytes_ - size_of(held.fact_) + size_of(received);
    if (bytes > table.limits_.bytes_) {
        return merge_result::refused;
    }
    table.bytes_ = bytes;
    held = {received, payload_hash(received.payload_), expiry_of(received, now)};
    return merge_result::changed;
}

} // namespace

merge_result merge(fact_table& table, const fact& received, time_point now)
{
    if (breaks_size_limits(table.limits_, received)) {
        return merge_result::refused;
    }
    const fact_key key{received.kind_, received.subject_};
    const auto it = table.facts_.find(key);
    if (it == table.facts_.end()) {
        return insert(table, key, received, now);
    }
    held_fact& held = it->second;
    if (received.version_ != held.fact_.version_) {
        return received.version_ > held.fact_.version_ ? replace(table, held, received, now)
                                                       : merge_result::unchanged;
    }
    if (received.payload_ > held.fact_.payload_) {
        return replace(table, held, received, now);
    }
    if (received.payload_ == held.fact_.payload_) {
        held.expires_ = std::max(held.expires_, expiry_of(received, now));
    }
    return merge_result::unchanged;
}

std::vector<fact> expire(fact_table& table, time_point now)
{
    std::vector<fact> expired;
    for (auto it = table.facts_.begin(); it != table.facts_.end();) {
        if (it->second.expires_ > now) {
            ++it;
            continue;
        }
        table.bytes_ -= size_of(it->second.fact_);
        expired.push_back(std::move(it->second.fact_));
        it = table.facts_.erase(it);
    }
    return expired;
}

const fact* find(const fact_table& table, const fact_key& key)
{
    const auto it = table.facts_.find(key);
    return it == table.facts_.end() ? nullptr : &it->second.fact_;
}

std::vector<fact> facts_of(const fact_table& table, fact_kind kind)
{
    std::vector<fact> facts;
    for (auto it = table.facts_.lower_bound({kind, ""});
         it != table.facts_.end() && it->first.kind_ == kind; ++it) {
        facts.push_back(it->second.fact_);
    }
    return facts;
}

fact with_remaining_lifetime(const held_fact& held, time_point now)
{
    fact sent = held.fact_;
    if (held.expires_ != time_point::max()) {
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(held.expires_ - now);
        sent.lifetime_s_ = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    }
    return sent;
}

bool is_sendable(const held_fact& held, time_point now)
{
    return held.expires_ == time_point::max() || held.expires_ - now >= min_sendable_lifetime;
}

std::size_t bucket_of(const fact_key& key)
{
    return XXH64(key.subject_.data(), key.subject_.size(), static_cast<XXH64_hash_t>(key.kind_)) %
           digest_buckets;
}

table_digest digest_of(const fact_table& table, time_point now)
{
    table_digest hashes{};
    for (const auto& [key, held] : table.facts_) {
        if (!is_sendable(held, now)) {
            continue;
        }
        const std::array<std::uint64_t, 2> content{held.fact_.version_, held.payload_hash_};
        const std::uint64_t seed =
            XXH64(key.subject_.data(), key.subject_.size(), static_cast<XXH64_hash_t>(key.kind_));
        hashes[bucket_of(key)] ^= XXH64(content.data(), sizeof content, seed);
    }
    return hashes;
}

std::vector<fact_reference> references_of(const fact_table& table, std::uint32_t buckets,
                                          time_point now)
{
    std::vector<fact_reference> references;
    for (const auto& [key, held] : table.facts_) {
        if ((buckets >> bucket_of(key) & 1U) != 0 && is_sendable(held, now)) {
            references.push_back({key, held.fact_.version_, held.payload_hash_});
        }
    }
    return references;
}

std::uint32_t payload_hash(std::string_view payload)
{
    return XXH32(payload.data(), payload.size(), 0);
}

} // namespace savoryscale::peer
