#include "cli/settings_flag.hpp"

#include "settings/parse.hpp"

#include <gflags/gflags.h>

#include <ostream>

DEFINE_string(settings, "", "file of this host's settings, JSON with comments");

namespace savoryscale::cli {

std::optional<settings::settings> load_settings_from_flag(std::ostream& err)
{
    if (FLAGS_settings.empty()) {
        err << "--settings: is missing; write --settings=FILE\n";
        return std::nullopt;
    }
    auto loaded = settings::load(FLAGS_settings);
    if (!loaded) {
        for (const error& failure : loaded.error()) {
            err << to_string(failure) << '\n';
        }
        return std::nullopt;
    }
    return std::move(*loaded);
}

const std::string& settings_file_from_flag()
{
    return FLAGS_settings;
}

} // namespace savoryscale::cli
