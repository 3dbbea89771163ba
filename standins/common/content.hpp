#pragma once

// Bodies generated from a seed that both ends can compute: a stand-in upstream sends them, the load
// generator checks them.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace savoryscale::standins {

// 64-bit FNV-1a over `text`, continuing from `hash`.
inline constexpr std::uint64_t fnv_basis = 0xcbf29ce484222325ULL;
std::uint64_t fnv(std::string_view text, std::uint64_t hash = fnv_basis);

// Writes the bytes [offset, offset + out.size()) of the unbounded content of `seed`.
void fill_content(std::uint64_t seed, std::uint64_t offset, std::span<char> out);

// True if `bytes` are the content of `seed` at `offset`.
bool is_content(std::uint64_t seed, std::uint64_t offset, std::span<const char> bytes);

// The strong ETag of a resource: its content seed and its size in bytes, quoted.
std::string content_etag(std::uint64_t seed, std::uint64_t size);

// The value of query parameter `name` in a request target, or an empty view.
std::string_view query_value(std::string_view target, std::string_view name);

// The body of the answer to a commit that ran: its id, and the size and digest of its body.
std::string commit_answer(std::string_view commit_id, std::uint64_t size, std::uint64_t digest);

} // namespace savoryscale::standins
