#include "cli/check.hpp"

#include "base/file.hpp"
#include "cli/command.hpp"
#include "plans/edited_file.hpp"
#include "settings/json_node.hpp"
#include "settings/parse.hpp"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string_view>
#include <vector>

namespace savoryscale::cli {

namespace {

// Output streams and results of one run of the check.
struct check_context {
    std::ostream& out_;
    std::ostream& err_;
    int code_ = exit_ok;
    std::vector<std::string> services_; // service names from the settings files checked
};

// Whether the text is a file of the two lists; any other file is checked as settings.
bool is_lists_file(std::string_view text)
{
    settings::error_list ignored;
    const auto tree = settings::parse_json(text, ignored);
    return tree && tree->is_object() && (tree->contains("customers") || tree->contains("plans"));
}

template<class T>
void report(check_context& run, const std::string& file, std::string_view kind,
            const validated<T>& parsed)
{
    if (parsed) {
        run.out_ << file << ": valid " << kind << '\n';
        return;
    }
    run.code_ = exit_invalid;
    for (const error& failure : parsed.error()) {
        run.err_ << to_string(failure) << '\n';
    }
}

void check_settings(check_context& run, const std::string& file)
{
    const auto parsed = settings::load(file);
    report(run, file, "settings", parsed);
    if (!parsed) {
        return;
    }
    for (const settings::service& each : parsed->services_) {
        run.services_.push_back(each.name_);
    }
}

} // namespace

int check(std::span<const std::string> files, std::ostream& out, std::ostream& err)
{
    check_context run{out, err, exit_ok, {}};
    std::vector<std::string> lists_files;
    for (const std::string& file : files) {
        const auto text = read_file(file);
        if (text && is_lists_file(*text)) {
            lists_files.push_back(file);
        }
        else {
            check_settings(run, file);
        }
    }
    for (const std::string& file : lists_files) {
        const std::string text = read_file(file).value_or("");
        report(run, file, "lists", plans::parse_edited_file(text, file, run.services_));
    }
    return run.code_;
}

} // namespace savoryscale::cli
