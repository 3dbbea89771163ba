#include "cli/arguments.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

namespace savoryscale::cli {

namespace {

// One flag argument, split into name and value.
struct flag_argument {
    std::string name_;
    std::optional<std::string> value_;
};

flag_argument split(std::string_view argument)
{
    argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
    const std::size_t equals = argument.find('=');
    flag_argument flag{std::string{argument.substr(0, equals)}, std::nullopt};
    if (equals != std::string_view::npos) {
        flag.value_ = std::string{argument.substr(equals + 1)};
    }
    std::replace(flag.name_.begin(), flag.name_.end(), '-', '_');
    return flag;
}

bool is_bool_flag(const std::string& name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::string remedy_for(std::span<const std::string_view> allowed)
{
    if (allowed.empty()) {
        return "leave it out; this command accepts no flags";
    }
    std::vector<std::string> names;
    for (const std::string_view name : allowed) {
        names.push_back(flag_text(name));
    }
    return fmt::format("use one of: {}", fmt::join(names, ", "));
}

} // namespace

std::string flag_text(std::string_view name)
{
    std::string text = "--" + std::string{name};
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
}

validated<std::vector<std::string>> parse_arguments(std::span<char*> arguments,
                                                    std::span<const std::string_view> allowed)
{
    std::vector<std::string> operands;
    std::vector<error> errors;
    const auto is_allowed = [&](const std::string& name) {
        return std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    };
    bool flags_ended = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string argument{arguments[i]};
        if (flags_ended || !argument.starts_with('-') || argument == "-") {
            operands.push_back(argument);
            continue;
        }
        if (argument == "--") {
            flags_ended = true;
            continue;
        }
        flag_argument flag = split(argument);
        const bool negated = !flag.value_ && flag.name_.starts_with("no") &&
                             is_allowed(flag.name_.substr(2)) && is_bool_flag(flag.name_.substr(2));
        if (negated) {
            flag = {flag.name_.substr(2), "false"};
        }
        if (!is_allowed(flag.name_)) {
            errors.push_back({error_kind::invalid, argument, "is not a flag of this command",
                              remedy_for(allowed)});
            continue;
        }
        if (!flag.value_ && is_bool_flag(flag.name_)) {
            flag.value_ = "true";
        }
        if (!flag.value_ && i + 1 < arguments.size()) {
            flag.value_ = arguments[++i];
        }
        const bool is_set =
            flag.value_ &&
            !gflags::SetCommandLineOption(flag.name_.c_str(), flag.value_->c_str()).empty();
        if (!is_set) {
            errors.push_back({error_kind::invalid, argument, "has no valid value",
                              "run the command with --help to see the accepted values"});
        }
    }
    if (!errors.empty()) {
        return tl::unexpected{std::move(errors)};
    }
    return operands;
}

} // namespace savoryscale::cli
