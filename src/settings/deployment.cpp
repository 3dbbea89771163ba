#include "settings/deployment.hpp"

namespace savoryscale::settings {

namespace {

constexpr auto key = "deployment";

deployment_reader installed = nullptr;

void add_absent(nlohmann::json& to, const nlohmann::json& added)
{
    for (const auto& [name, value] : added.items()) {
        if (!to.contains(name)) {
            to[name] = value;
        }
        else if (to[name].is_object() && value.is_object()) {
            add_absent(to[name], value);
        }
    }
}

} // namespace

void install_deployment_reader(deployment_reader reader)
{
    installed = reader;
}

void apply_deployment(nlohmann::json& file)
{
    const auto table = file.find(key);
    if (installed == nullptr || table == file.end() || !table->is_object()) {
        return;
    }
    const nlohmann::json added = installed(*table);
    file.erase(table);
    add_absent(file, added);
}

} // namespace savoryscale::settings
