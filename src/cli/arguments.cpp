#include "cli/arguments.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

namespace savoryscale::cli {

namespace {

// One flag as it was written.
struct written_flag {
    std::string name_;
    std::optional<std::string> value_;
};

written_flag split(std::string_view argument)
{
    argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
    const std::size_t equals = argument.find('=');
    written_flag flag{std::string{argument.substr(0, equals)}, std::nullopt};
    if (equals != std::string_view::npos) {
        flag.value_ = std::string{argument.substr(equals + 1)};
    }
    std::replace(flag.name_.begin(), flag.name_.end(), '-', '_');
    return flag;
}

bool is_truth_value(const std::string& name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::string remedy_for(std::span<const std::string_view> allowed)
{
    if (allowed.empty()) {
        return "leave it out; this command takes no flags";
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

checked<std::vector<std::string>> parse_arguments(std::span<char*> arguments,
                                                  std::span<const std::string_view> allowed)
{
    std::vector<std::string> operands;
    std::vector<error> faults;
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
        written_flag flag = split(argument);
        const bool negated = !flag.value_ && flag.name_.starts_with("no") &&
                             is_allowed(flag.name_.substr(2)) &&
                             is_truth_value(flag.name_.substr(2));
        if (negated) {
            flag = {flag.name_.substr(2), "false"};
        }
        if (!is_allowed(flag.name_)) {
            faults.push_back(
                {error_kind::invalid, argument, "is no flag of this command", remedy_for(allowed)});
            continue;
        }
        if (!flag.value_ && is_truth_value(flag.name_)) {
            flag.value_ = "true";
        }
        if (!flag.value_ && i + 1 < arguments.size()) {
            flag.value_ = arguments[++i];
        }
        const bool taken =
            flag.value_ &&
            !gflags::SetCommandLineOption(flag.name_.c_str(), flag.value_->c_str()).empty();
        if (!taken) {
            faults.push_back({error_kind::invalid, argument, "has no valid value",
                              "see the command's --help for what it takes"});
        }
    }
    if (!faults.empty()) {
        return tl::unexpected{std::move(faults)};
    }
    return operands;
}

} // namespace savoryscale::cli
