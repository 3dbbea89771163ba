#pragma once

// Reads plain structs from a JSON tree and collects all errors. Each struct has a function
// `read(const json_node&, T&, limits)` that reads its members through object_reader.

#include "base/error.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::settings {

// The errors found so far in one file.
struct error_list {
    std::string file_;
    std::vector<error> errors_;
};

// Inclusive bounds of a number, of a string's length in bytes or of an array's length.
struct limits {
    std::int64_t low_ = 0;
    std::int64_t high_ = 65536;
};

// One value of the tree with its JSON pointer.
struct json_node {
    const nlohmann::json& value_;
    std::string pointer_;
    error_list& errors_;

    // Records an error at this value.
    void fail(std::string what, std::string remedy) const;

    // The file and the JSON pointer of this value, in the form that errors use.
    std::string location() const;

    // The JSON pointer of a member or an element of this value.
    std::string child_pointer(std::string_view key) const;
};

// Parses JSON with comments. Returns no value when the text is not valid JSON. A key that appears
// twice in one object is recorded as an error, and the last one is kept.
std::optional<nlohmann::json> parse_json(std::string_view text, error_list& errors);

// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escape_pointer(std::string_view key);

// Reads the members of one JSON object. Call reject_unknown after reading the last one.
class object_reader {
public:
    explicit object_reader(const json_node& at);

    // Reads a mandatory member.
    template<class T>
    void required(std::string_view key, T& out, limits bounds = {})
    {
        if (!take(key, out, bounds) && at_.value_.is_object()) {
            json_node{at_.value_, at_.child_pointer(key), at_.errors_}.fail("is missing",
                                                                            "add this key");
        }
    }

    // Reads an optional member; `out` keeps its default when the member is absent.
    template<class T>
    void optional(std::string_view key, T& out, limits bounds = {})
    {
        take(key, out, bounds);
    }

    // Records an error at a member when `good` is false, the member is present and no error has
    // been recorded in it yet.
    void check(bool good, std::string_view key, std::string what, std::string remedy) const;

    // Records an error for each member that was not read.
    void reject_unknown() const;

private:
    template<class T>
    bool take(std::string_view key, T& out, limits bounds)
    {
        known_keys_.emplace_back(key);
        if (!at_.value_.is_object()) {
            return false;
        }
        const auto member = at_.value_.find(key);
        if (member == at_.value_.end()) {
            return false;
        }
        read(json_node{*member, at_.child_pointer(key), at_.errors_}, out, bounds);
        return true;
    }

    const json_node& at_;
    std::vector<std::string> known_keys_;
};

void read(const json_node& at, bool& out, limits bounds);
void read(const json_node& at, std::string& out, limits bounds);
void read(const json_node& at, double& out, limits bounds);

// Reads an integer within the bounds; returns no value, and records an error, for anything else.
std::optional<std::int64_t> read_integer(const json_node& at, limits bounds);

template<std::integral T>
void read(const json_node& at, T& out, limits bounds)
{
    if (const auto number = read_integer(at, bounds)) {
        out = static_cast<T>(*number);
    }
}

inline void read(const json_node& at, std::chrono::milliseconds& out, limits bounds)
{
    if (const auto number = read_integer(at, bounds)) {
        out = std::chrono::milliseconds{*number};
    }
}

// Seconds, fractions allowed.
inline void read(const json_node& at, std::chrono::duration<double>& out, limits bounds)
{
    double number = out.count();
    read(at, number, bounds);
    out = std::chrono::duration<double>{number};
}

template<class T>
void read(const json_node& at, std::optional<T>& out, limits bounds)
{
    read(at, out.emplace(), bounds);
}

// The bounds apply to each element.
template<class T>
void read(const json_node& at, std::vector<T>& out, limits bounds)
{
    if (!at.value_.is_array()) {
        at.fail("is not an array", "write a list in square brackets");
        return;
    }
    out.clear();
    for (std::size_t i = 0; i < at.value_.size(); ++i) {
        read(json_node{at.value_[i], at.child_pointer(std::to_string(i)), at.errors_},
             out.emplace_back(), bounds);
    }
}

} // namespace savoryscale::settings
