#include "telemetry/trace_context.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace savoryscale::telemetry {

namespace {

// Format: version "-" trace id "-" parent id "-" flags
constexpr std::size_t version_end = 2;
constexpr std::size_t trace_begin = 3;
constexpr std::size_t trace_digits = 32;
constexpr std::size_t parent_begin = 36;
constexpr std::size_t parent_digits = 16;
constexpr std::size_t flags_begin = 53;
constexpr std::size_t header_length = 55;
constexpr std::uint8_t sampled_flag = 0x01;
constexpr std::uint8_t forbidden_version = 0xff;

// Returns the value of a lower-case hexadecimal digit, or nothing for any other character.
std::optional<std::uint8_t> digit_value(char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const std::size_t value = digits.find(c);
    if (value == std::string_view::npos) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(value);
}

template<std::size_t size>
std::optional<std::array<std::uint8_t, size>> parse_hex(std::string_view digits)
{
    std::array<std::uint8_t, size> bytes{};
    for (std::size_t i = 0; i < size; ++i) {
        const auto high = digit_value(digits[2 * i]);
        const auto low = digit_value(digits[2 * i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        bytes[i] = static_cast<std::uint8_t>(*high << 4U | *low);
    }
    return bytes;
}

template<std::size_t size>
std::string format_hex(const std::array<std::uint8_t, size>& bytes)
{
    return fmt::format("{:02x}", fmt::join(bytes, ""));
}

template<std::size_t size>
bool is_zero(const std::array<std::uint8_t, size>& bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

bool has_dashes(std::string_view header)
{
    return header[version_end] == '-' && header[parent_begin - 1] == '-' &&
           header[flags_begin - 1] == '-';
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view header)
{
    if (header.size() < header_length || !has_dashes(header)) {
        return std::nullopt;
    }
    const auto version = parse_hex<1>(header.substr(0, version_end));
    const auto trace = parse_hex<16>(header.substr(trace_begin, trace_digits));
    const auto parent = parse_hex<8>(header.substr(parent_begin, parent_digits));
    const auto flags = parse_hex<1>(header.substr(flags_begin, 2));
    if (!version || !trace || !parent || !flags) {
        return std::nullopt;
    }
    if ((*version)[0] == forbidden_version || is_zero(*trace) || is_zero(*parent)) {
        return std::nullopt;
    }
    const bool longer = header.size() > header_length;
    if (longer && ((*version)[0] == 0 || header[header_length] != '-')) {
        return std::nullopt;
    }
    return trace_context{*trace, *parent, ((*flags)[0] & sampled_flag) != 0};
}

std::string format_traceparent(const trace_context& context)
{
    return fmt::format("00-{}-{}-{:02x}", to_hex(context.trace_), to_hex(context.parent_),
                       context.sampled_ ? sampled_flag : 0);
}

std::string to_hex(const trace_id& id)
{
    return format_hex(id);
}

std::string to_hex(const span_id& id)
{
    return format_hex(id);
}

} // namespace savoryscale::telemetry
