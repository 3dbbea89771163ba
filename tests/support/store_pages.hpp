#pragma once

// How a sound store reads a call and writes a page of a list.

#include "base/percent_encoding.hpp"
#include "base/text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::testing {

// A larger request target is refused, as many servers do.
constexpr std::size_t target_max_bytes = 8000;

// How a store reads a value in the query of a call.
enum class value_reading { as_in_a_form, percent_decoded, as_it_stands, refused_if_encoded };
inline constexpr std::array value_readings{
    value_reading::as_in_a_form, value_reading::percent_decoded, value_reading::as_it_stands,
    value_reading::refused_if_encoded};

inline std::optional<std::string> read_value(std::string value, value_reading reading)
{
    if (reading == value_reading::refused_if_encoded && value.find('%') != std::string::npos) {
        return std::nullopt;
    }
    if (reading == value_reading::as_it_stands) {
        return value;
    }
    if (reading == value_reading::as_in_a_form) {
        std::replace(value.begin(), value.end(), '+', ' ');
    }
    return percent_decoded(value);
}

struct store_target {
    std::vector<std::string> path_; // segments, decoded
    std::map<std::string, std::string> query_;
};

// The target of a request; none if it is malformed, which the store answers with 400.
inline std::optional<store_target>
read_store_target(std::string_view target, value_reading reading = value_reading::as_in_a_form)
{
    const bool visible = std::all_of(target.begin(), target.end(),
                                     [](char each) { return each > ' ' && each < '\x7f'; });
    if (!visible || target.size() > target_max_bytes || !target.starts_with('/') ||
        target.find('#') != std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view query = target;
    std::string_view path = take_until(query, '?').substr(1);
    store_target read;
    while (!path.empty()) {
        const auto segment = percent_decoded(take_until(path, '/'));
        if (!segment) {
            return std::nullopt;
        }
        read.path_.push_back(*segment);
    }
    while (!query.empty()) {
        std::string_view rest = take_until(query, '&');
        const auto name = read_value(std::string{take_until(rest, '=')}, reading);
        const auto value = read_value(std::string{rest}, reading);
        if (!name || !value) {
            return std::nullopt;
        }
        read.query_[*name] = *value;
    }
    return read;
}

// The target of a request line, with its head; none if the head is malformed.
inline std::optional<store_target>
read_store_request(std::string_view request, value_reading reading = value_reading::as_in_a_form)
{
    std::string_view head = request.substr(0, request.find("\r\n\r\n"));
    std::string_view line = head.substr(0, head.find("\r\n"));
    head.remove_prefix(line.size());
    take_until(line, ' ');
    const std::string_view target = take_until(line, ' ');
    const bool sound_fields = head.find(": ") != std::string_view::npos;
    return line == "HTTP/1.1" && sound_fields ? read_store_target(target, reading) : std::nullopt;
}

inline bool is_utf8(const std::string& text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    }
    catch (const nlohmann::json::type_error&) {
        return false;
    }
}

// The name as a JSON string; bytes that are no UTF-8 stay as they are, and a surrogate is escaped.
inline std::string quoted_name(const std::string& name)
{
    constexpr std::string_view surrogate = "\xed\xa0\x80";
    if (const auto at = name.find(surrogate); at != std::string::npos) {
        return fmt::format("\"{}\\ud800{}\"", name.substr(0, at),
                           name.substr(at + surrogate.size()));
    }
    return is_utf8(name) ? nlohmann::json(name).dump() : fmt::format("\"{}\"", name);
}

// The object, whose metadata need not hold the name, as a document.
inline std::string object_text(const std::string& name, nlohmann::json object)
{
    const std::string metadata = R"("metadata":{)";
    object["metadata"].erase("name");
    std::string text = object.dump();
    return text.insert(text.find(metadata) + metadata.size(),
                       fmt::format("\"name\":{},", quoted_name(name)));
}

using named_objects = std::map<std::string, nlohmann::json>;

// The page of the objects after a name; none: from the first one.
inline std::string store_page(const named_objects& objects, const std::optional<std::string>& after,
                              std::size_t page_max, std::uint64_t revision)
{
    auto at = after ? objects.upper_bound(*after) : objects.begin();
    std::string items;
    for (std::size_t i = 0; i < page_max && at != objects.end(); ++i, ++at) {
        items += (items.empty() ? "" : ",") + object_text(at->first, at->second);
    }
    return fmt::format(R"({{"items":[{}],"has_more":{},"store_revision":{}}})", items,
                       at != objects.end(), revision);
}

} // namespace savoryscale::testing
