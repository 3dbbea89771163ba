#include "settings/json_node.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace savoryscale::settings {

namespace {

using nlohmann::json;

// The line and column of a byte offset, both counted from 1.
std::string line_and_column(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t line_break = before.rfind('\n');
    const std::size_t line_start = line_break == std::string_view::npos ? 0 : line_break + 1;
    return fmt::format("{}:{}", line, before.size() - line_start + 1);
}

// SAX handler that records keys that appear twice in one object, and the first syntax error.
class duplicate_finder : public nlohmann::json_sax<json> {
public:
    duplicate_finder(std::string_view text, error_list& errors) : text_{text}, errors_{errors} {}

    bool null() override { return value(); }
    bool boolean(bool /*value*/) override { return value(); }
    bool number_integer(number_integer_t /*value*/) override { return value(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return value(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return value();
    }
    bool string(string_t& /*value*/) override { return value(); }
    bool binary(binary_t& /*value*/) override { return value(); }

    bool start_object(std::size_t /*size*/) override { return open(false); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override { return open(true); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        frame& object = frames_.back();
        object.part_ = escape_pointer(name);
        if (!object.keys_.insert(name).second) {
            errors_.errors_.push_back({error_kind::invalid, errors_.file_ + "#" + pointer(),
                                       "appears twice in one object", "keep one of the two"});
        }
        return true;
    }

    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const json::exception& failure) override
    {
        const std::size_t offset = position == 0 ? 0 : position - 1;
        std::string what = failure.what();
        if (const auto colon = what.rfind(": "); colon != std::string::npos) {
            what.erase(0, colon + 2);
        }
        errors_.errors_.push_back(
            {error_kind::invalid, errors_.file_ + ":" + line_and_column(text_, offset),
             "is not valid JSON: " + what, "correct the syntax at this position"});
        return false;
    }

private:
    // One open object or array that contains the current value.
    struct frame {
        bool array_ = false;
        std::size_t next_index_ = 0;
        std::string part_; // key of the current member
        std::set<std::string> keys_;
    };

    bool value()
    {
        if (!frames_.empty() && frames_.back().array_) {
            frames_.back().part_ = std::to_string(frames_.back().next_index_++);
        }
        return true;
    }

    bool open(bool array)
    {
        value();
        frames_.push_back({array, 0, {}, {}});
        return true;
    }

    bool close()
    {
        frames_.pop_back();
        return true;
    }

    std::string pointer() const
    {
        std::string joined;
        for (const frame& each : frames_) {
            joined += "/" + each.part_;
        }
        return joined;
    }

    std::string_view text_;
    error_list& errors_;
    std::vector<frame> frames_;
};

// The range as text, for remedies.
std::string describe_range(limits bounds)
{
    return fmt::format("from {} to {}", bounds.low_, bounds.high_);
}

} // namespace

void json_node::fail(std::string what, std::string remedy) const
{
    errors_.errors_.push_back(
        {error_kind::invalid, location(), std::move(what), std::move(remedy)});
}

std::string json_node::location() const
{
    return errors_.file_ + "#" + pointer_;
}

std::string json_node::child_pointer(std::string_view key) const
{
    return pointer_ + "/" + escape_pointer(key);
}

std::string escape_pointer(std::string_view key)
{
    std::string escaped;
    for (const char c : key) {
        if (c == '~') {
            escaped += "~0";
        }
        else if (c == '/') {
            escaped += "~1";
        }
        else {
            escaped += c;
        }
    }
    return escaped;
}

std::optional<json> parse_json(std::string_view text, error_list& errors)
{
    constexpr bool ignore_comments = true;
    duplicate_finder finder{text, errors};
    if (!json::sax_parse(text, &finder, json::input_format_t::json, true, ignore_comments)) {
        return std::nullopt;
    }
    return json::parse(text, nullptr, false, ignore_comments);
}

object_reader::object_reader(const json_node& at) : at_{at}
{
    if (!at.value_.is_object()) {
        at.fail("is not an object", "write its keys in curly braces");
    }
}

void object_reader::check(bool good, std::string_view key, std::string what,
                          std::string remedy) const
{
    if (good || !at_.value_.is_object() || !at_.value_.contains(key)) {
        return;
    }
    const json_node member{at_.value_, at_.child_pointer(key), at_.errors_};
    const std::string location = member.location();
    const auto& errors = at_.errors_.errors_;
    const bool already_recorded =
        std::any_of(errors.begin(), errors.end(),
                    [&](const error& failure) { return failure.where_.starts_with(location); });
    if (!already_recorded) {
        member.fail(std::move(what), std::move(remedy));
    }
}

void object_reader::reject_unknown() const
{
    if (!at_.value_.is_object()) {
        return;
    }
    for (const auto& member : at_.value_.items()) {
        if (std::find(known_keys_.begin(), known_keys_.end(), member.key()) == known_keys_.end()) {
            json_node{member.value(), at_.child_pointer(member.key()), at_.errors_}.fail(
                "is not a known key",
                fmt::format("remove it, or use one of: {}", fmt::join(known_keys_, ", ")));
        }
    }
}

void read(const json_node& at, bool& out, limits /*bounds*/)
{
    if (!at.value_.is_boolean()) {
        at.fail("is not a Boolean", "write true or false");
        return;
    }
    out = at.value_.get<bool>();
}

void read(const json_node& at, std::string& out, limits bounds)
{
    if (!at.value_.is_string()) {
        at.fail("is not a string", "write text in double quotes");
        return;
    }
    out = at.value_.get<std::string>();
    const auto length = static_cast<std::int64_t>(out.size());
    if (length < bounds.low_ || length > bounds.high_) {
        at.fail(fmt::format("is {} bytes long", length),
                fmt::format("write a string with a length in bytes {}", describe_range(bounds)));
    }
}

void read(const json_node& at, double& out, limits bounds)
{
    if (!at.value_.is_number()) {
        at.fail("is not a number", fmt::format("write a number {}", describe_range(bounds)));
        return;
    }
    out = at.value_.get<double>();
    if (out < static_cast<double>(bounds.low_) || out > static_cast<double>(bounds.high_)) {
        at.fail(fmt::format("is {}, out of range", out),
                fmt::format("write a number {}", describe_range(bounds)));
    }
}

std::optional<std::int64_t> read_integer(const json_node& at, limits bounds)
{
    const std::string remedy = fmt::format("write an integer {}", describe_range(bounds));
    if (!at.value_.is_number_integer()) {
        at.fail("is not an integer", remedy);
        return std::nullopt;
    }
    const bool exceeds_int64 =
        at.value_.is_number_unsigned() &&
        at.value_.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const auto number = at.value_.get<std::int64_t>();
    if (exceeds_int64 || number < bounds.low_ || number > bounds.high_) {
        at.fail(fmt::format("is {}, out of range", at.value_.dump()), remedy);
        return std::nullopt;
    }
    return number;
}

} // namespace savoryscale::settings
