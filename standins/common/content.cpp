#include "common/content.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace savoryscale::standins {

namespace {

constexpr std::size_t word_bytes = 8;

// The splitmix64 mixer: one content word from its index.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::array<char, word_bytes> content_word(std::uint64_t seed, std::uint64_t index)
{
    const std::uint64_t word = mix(seed + index);
    std::array<char, word_bytes> bytes{};
    std::memcpy(bytes.data(), &word, word_bytes);
    return bytes;
}

} // namespace

std::uint64_t fnv(std::string_view text, std::uint64_t hash)
{
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    return hash;
}

void fill_content(std::uint64_t seed, std::uint64_t offset, std::span<char> out)
{
    std::size_t done = 0;
    while (done < out.size()) {
        const std::uint64_t at = offset + done;
        const auto word = content_word(seed, at / word_bytes);
        const std::size_t skip = at % word_bytes;
        const std::size_t count = std::min(word_bytes - skip, out.size() - done);
        std::memcpy(out.data() + done, word.data() + skip, count);
        done += count;
    }
}

bool is_content(std::uint64_t seed, std::uint64_t offset, std::span<const char> bytes)
{
    std::array<char, 4096> expected{};
    std::size_t done = 0;
    while (done < bytes.size()) {
        const std::size_t count = std::min(expected.size(), bytes.size() - done);
        fill_content(seed, offset + done, std::span{expected}.first(count));
        if (std::memcmp(expected.data(), bytes.data() + done, count) != 0) {
            return false;
        }
        done += count;
    }
    return true;
}

std::string content_etag(std::uint64_t seed, std::uint64_t size)
{
    return fmt::format("\"{:016x}-{}\"", seed, size);
}

std::string_view query_value(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

std::string commit_answer(std::string_view commit_id, std::uint64_t size, std::uint64_t digest)
{
    return fmt::format("committed {} of {} bytes with digest {:016x}\n", commit_id, size, digest);
}

} // namespace savoryscale::standins
