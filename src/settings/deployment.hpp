#pragma once

// What a platform tells each process about its deployment: a table under "deployment" in the
// settings, in the platform's names. It is read field by field, as a deployment may lack any of
// them.

#include <nlohmann/json.hpp>

namespace savoryscale::settings {

// Returns the settings that follow from the table, in the layout of a settings file. Fields that
// the table lacks are left out, so that their settings keep their defaults.
using deployment_reader = nlohmann::json (*)(const nlohmann::json& table);

// Install the reader once, before settings are read. Without one, "deployment" is an unknown key.
void install_deployment_reader(deployment_reader reader);

// Replaces "deployment" by the settings that follow from it. What the file sets itself has
// precedence.
void apply_deployment(nlohmann::json& file);

} // namespace savoryscale::settings
