#include "routes/table.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::routes {

namespace {

std::string key_of(std::string_view host, std::string_view prefix)
{
    std::string key{host};
    key.push_back('\0');
    key.append(prefix);
    return key;
}

// Removes the port and converts to lower case.
std::string lower_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.find(']', colon) == host.npos;
    std::string lowered{has_port ? host.substr(0, colon) : host};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return lowered;
}

const route* find_for_host(const table& routes, std::string_view host, std::string_view path)
{
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes.by_prefix_.find(key_of(host, path.substr(0, end + 1)));
        if (found != routes.by_prefix_.end()) {
            return &routes.state_.routes_[found->second];
        }
    }
    return nullptr;
}

// Searches the prefixes that do not end in '/'. They apply to any host.
const route* find_without_slash(const table& routes, std::string_view path)
{
    for (const std::size_t index : routes.prefixes_without_slash_) {
        const route& candidate = routes.state_.routes_[index];
        if (path.starts_with(candidate.path_prefix_)) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

table make_table(desired_state state)
{
    table made;
    if (state.organisations_) {
        made.keys_ = organisations::make_key_table(*state.organisations_);
        state.organisations_.reset();
    }
    made.state_ = std::move(state);
    const auto& all = made.state_.routes_;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all[i].path_prefix_.ends_with('/')) {
            made.by_prefix_.emplace(key_of(lower_host(all[i].host_), all[i].path_prefix_), i);
        }
        else {
            made.prefixes_without_slash_.push_back(i);
        }
    }
    std::stable_sort(made.prefixes_without_slash_.begin(), made.prefixes_without_slash_.end(),
                     [&](std::size_t one, std::size_t two) {
                         return all[one].path_prefix_.size() > all[two].path_prefix_.size();
                     });
    return made;
}

const route* find_route(const table& routes, std::string_view host, std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    if (const route* named = find_for_host(routes, lower_host(host), path)) {
        return named;
    }
    const route* any = find_for_host(routes, {}, path);
    const route* without_slash = find_without_slash(routes, path);
    if (any == nullptr || without_slash == nullptr) {
        return any == nullptr ? without_slash : any;
    }
    return without_slash->path_prefix_.size() > any->path_prefix_.size() ? without_slash : any;
}

} // namespace savoryscale::routes
