#include "cli/command.hpp"

#include "base/version.hpp"
#include "cli/arguments.hpp"
#include "cli/check.hpp"
#include "cli/explain.hpp"
#include "cli/lists_main.hpp"
#include "cli/serve_command.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <ostream>

namespace savoryscale::cli {

namespace {

using operands = std::span<const std::string>;

// One subcommand: its help texts, its flags and operands, and its function.
struct command {
    std::string_view name_;
    std::string_view synopsis_; // operands and flags after the name
    std::string_view summary_;
    std::vector<std::string_view> flags_; // as gflags names them
    std::size_t operands_min_ = 0;
    std::size_t operands_max_ = 0;
    int (*run_)(operands, std::ostream& out, std::ostream& err) = nullptr;
};

int run_version(operands /*none*/, std::ostream& out, std::ostream& /*err*/)
{
    out << "savoryscale " << product_version << '\n';
    return exit_ok;
}

int run_help(operands names, std::ostream& out, std::ostream& err);

const std::vector<command>& commands()
{
    constexpr std::size_t any_number = 1024;
    static const std::vector<command> all{
        {"serve",
         "--settings=FILE",
         "runs one entry host until it is stopped",
         {"settings"},
         0,
         0,
         run_serve},
        {"check",
         "FILE...",
         "validates files and prints every error with its remedy",
         {},
         1,
         any_number,
         check},
        {"pull",
         "--settings=FILE --out=FILE",
         "writes the two lists to a file, with the base version for apply",
         {"settings", "out"},
         0,
         0,
         run_pull},
        {"apply",
         "--settings=FILE [--dry-run] FILE",
         "applies an edited file of the two lists",
         {"settings", "dry_run"},
         1,
         1,
         run_apply},
        {"status",
         "--settings=FILE [--wait=SECONDS] [--json]",
         "shows whether every host holds the lists",
         {"settings", "wait", "json"},
         0,
         0,
         run_status},
        {"explain",
         "--settings=FILE [--host=HOST] [--organisation=NAME] [--json] PATH",
         "tells what the running host would do with a request now, without sending it",
         {"settings", "host", "organisation", "json"},
         1,
         1,
         run_explain},
        {"version", "", "prints the release number", {}, 0, 0, run_version},
        {"help", "[COMMAND]", "explains the commands", {}, 0, 1, run_help},
    };
    return all;
}

const command* find(std::string_view name)
{
    const auto& all = commands();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const command& each) { return each.name_ == name; });
    return found == all.end() ? nullptr : &*found;
}

void print_usage(const command& which, std::ostream& out)
{
    out << fmt::format("savoryscale {} {}\n    {}\n", which.name_, which.synopsis_, which.summary_);
    for (const std::string_view name : which.flags_) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string{name}.c_str());
        out << fmt::format("    {}: {} ({})\n", flag_text(name), info.description, info.type);
    }
}

int unknown_command(std::string_view name, std::ostream& err)
{
    err << fmt::format("{}: is not a command; run 'savoryscale help'\n", name);
    return exit_invalid;
}

int run_help(operands names, std::ostream& out, std::ostream& err)
{
    if (names.empty()) {
        for (const command& each : commands()) {
            out << fmt::format("savoryscale {:8} {}\n", each.name_, each.summary_);
        }
        return exit_ok;
    }
    const command* which = find(names.front());
    if (which == nullptr) {
        return unknown_command(names.front(), err);
    }
    print_usage(*which, out);
    return exit_ok;
}

bool has_help_flag(std::span<char*> arguments)
{
    return std::any_of(arguments.begin(), arguments.end(), [](std::string_view argument) {
        return argument == "--help" || argument == "-h";
    });
}

} // namespace

int run(std::span<char*> arguments, std::ostream& out, std::ostream& err)
{
    if (arguments.size() < 2) {
        err << "no command given; run 'savoryscale help'\n";
        return exit_invalid;
    }
    const std::string_view name{arguments[1]};
    if (name == "--help" || name == "-h") {
        return run_help({}, out, err);
    }
    const command* which = find(name);
    if (which == nullptr) {
        return unknown_command(name, err);
    }
    const auto rest = arguments.subspan(2);
    if (has_help_flag(rest)) {
        print_usage(*which, out);
        return exit_ok;
    }
    const auto given = parse_arguments(rest, which->flags_);
    if (!given) {
        for (const error& failure : given.error()) {
            err << to_string(failure) << '\n';
        }
        return exit_invalid;
    }
    if (given->size() < which->operands_min_ || given->size() > which->operands_max_) {
        err << fmt::format("{} operands given; write: savoryscale {} {}\n", given->size(), name,
                           which->synopsis_);
        return exit_invalid;
    }
    return which->run_(*given, out, err);
}

} // namespace savoryscale::cli
