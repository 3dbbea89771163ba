#include "cli/settings_flag.hpp"

#include "settings/parse.hpp"

#include <gflags/gflags.h>

#include <ostream>

DEFINE_string(settings, "", "file of this host's settings, JSON with comments");

namespace savoryscale::cli {

std::optional<settings::settings> load_flagged_settings(std::ostream& err)
{
    if (FLAGS_settings.empty()) {
        err << "--settings: no file is named; write --settings=FILE\n";
        return std::nullopt;
    }
    auto loaded = settings::load(FLAGS_settings);
    if (!loaded) {
        for (const error& fault : loaded.error()) {
            err << to_string(fault) << '\n';
        }
        return std::nullopt;
    }
    return std::move(*loaded);
}

const std::string& flagged_settings_file()
{
    return FLAGS_settings;
}

} // namespace savoryscale::cli
