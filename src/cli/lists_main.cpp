#include "cli/lists_main.hpp"

#include "base/file.hpp"
#include "cli/command.hpp"
#include "cli/lists_commands.hpp"
#include "cli/settings_flag.hpp"
#include "settings/settings.hpp"
#include "store/http_host_list_client.hpp"
#include "store/http_object_client.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <functional>
#include <optional>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

DEFINE_string(out, "", "file to write the lists to");
DEFINE_bool(dry_run, false, "print what would happen, but write nothing");
DEFINE_int32(wait, 0, "seconds to wait until all hosts hold the lists");
DEFINE_bool(json, false, "print JSON");

namespace savoryscale::cli {

namespace {

using platform_command = std::function<int(platform_access&)>;

void print_errors(const std::vector<error>& errors, std::ostream& err)
{
    for (const error& each : errors) {
        err << to_string(each) << '\n';
    }
}

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int run_with_platform(const settings::settings& given, const platform_command& command)
{
    std::random_device entropy;
    store::call_limiter_options limiter_options;
    limiter_options.calls_per_second_ = given.platform_.calls_per_second_;
    store::http_object_client objects{given.platform_.object_api_, limiter_options, entropy()};
    store::http_host_list_client hosts{given.platform_.host_list_};
    platform_access access{objects,
                           hosts,
                           given.platform_.call_timeout_,
                           random_source{entropy()},
                           [](duration time) { std::this_thread::sleep_for(time); },
                           wall_clock_ms};
    return command(access);
}

std::vector<std::string> service_names(const settings::settings& given)
{
    std::vector<std::string> names;
    for (const settings::service& each : given.services_) {
        names.push_back(each.name_);
    }
    return names;
}

} // namespace

int run_pull(std::span<const std::string> /*operands*/, std::ostream& out, std::ostream& err)
{
    const auto given = load_settings_from_flag(err);
    if (!given || FLAGS_out.empty()) {
        if (given) {
            err << "--out: is missing; write --out=FILE\n";
        }
        return exit_invalid;
    }
    std::ostringstream text;
    const int code = run_with_platform(
        *given, [&](platform_access& access) { return pull_lists(access, text, err); });
    if (code != exit_ok) {
        return code;
    }
    std::ofstream file{FLAGS_out, std::ios::binary | std::ios::trunc};
    if (!(file << text.str()).flush()) {
        err << FLAGS_out
            << ": cannot be written; choose a file in a directory that you can write to\n";
        return exit_failure;
    }
    out << "pulled to " << FLAGS_out << '\n';
    return exit_ok;
}

int run_apply(std::span<const std::string> operands, std::ostream& out, std::ostream& err)
{
    const auto given = load_settings_from_flag(err);
    if (!given) {
        return exit_invalid;
    }
    const std::string& name = operands.front();
    const auto text = read_file(name);
    if (!text) {
        err << name << ": cannot be read; give the file that was pulled and edited\n";
        out << "refused: invalid\n";
        return exit_invalid;
    }
    auto file = plans::parse_edited_file(*text, name, service_names(*given));
    if (!file) {
        print_errors(file.error(), err);
        out << "refused: invalid\n";
        return exit_invalid;
    }
    return run_with_platform(*given, [&](platform_access& access) {
        return apply_lists(access, std::move(*file), FLAGS_dry_run, out, err);
    });
}

int run_status(std::span<const std::string> /*operands*/, std::ostream& out, std::ostream& err)
{
    const auto given = load_settings_from_flag(err);
    if (!given) {
        return exit_invalid;
    }
    return run_with_platform(*given, [&](platform_access& access) {
        return show_status(access, std::chrono::seconds{FLAGS_wait}, FLAGS_json, out, err);
    });
}

} // namespace savoryscale::cli
