#pragma once

// Translates between the directory and the API of a particular store: a table of stateless
// functions. The one for the users' store is in platform/.

#include "base/error.hpp"
#include "directory/follow.hpp"
#include "directory/stored_object.hpp"
#include "directory/target_entry.hpp"
#include "routes/route.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace savoryscale::directory {

struct dialect {
    std::string_view configuration_kind_; // kind of the desired state
    std::string_view configuration_name_;
    std::string_view targets_kind_;
    std::string_view
        emptied_kind_; // one object for each data centre that is to be emptied, by name
    std::string_view suspicions_kind_; // of this system's own: requests that crash targets
    std::string_view era_field_;       // header field of an answer that names the store's era

    // Path and query of the GET request that lists or watches a kind, or reads an object of it.
    std::string (*call_path_)(std::string_view kind, const follow_call&) = nullptr;
    // Path of one object, the path that removes it if it is of this revision, and the document that
    // creates it (revision 0), or replaces it if it is of this revision.
    std::string (*object_path_)(std::string_view kind, std::string_view name) = nullptr;
    std::string (*removal_path_)(std::string_view kind, std::string_view name,
                                 std::uint64_t revision) = nullptr;
    std::string (*write_object_)(std::string_view name, const nlohmann::json& value,
                                 std::uint64_t revision) = nullptr;
    result<stored_object> (*read_object_)(std::string_view body) = nullptr;
    result<list_page> (*read_list_)(std::string_view body) = nullptr;
    result<change_page> (*read_changes_)(std::string_view body) = nullptr;
    result<routes::desired_state> (*read_desired_state_)(const nlohmann::json&) = nullptr;
    result<target_entry> (*read_target_)(std::string_view id, const nlohmann::json&) = nullptr;
};

// The dialect that `serve` uses for the store of its directory. Install it once, before `serve`
// runs.
void install_dialect(const dialect& store_dialect);
const dialect* installed_dialect();

} // namespace savoryscale::directory
