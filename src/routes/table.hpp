#pragma once

// Finds the route of a request. A lookup costs one hash per slash of the path, independent of the
// number of routes, plus a scan of the prefixes that do not end in '/'.

#include "organisations/key_table.hpp"
#include "routes/route.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savoryscale::routes {

struct table {
    desired_state state_;                          // its organisations are in keys_ instead
    std::optional<organisations::key_table> keys_; // none: callers carry no keys
    std::unordered_map<std::string, std::size_t> by_prefix_; // host, NUL, prefix that ends in '/'
    std::vector<std::size_t> prefixes_without_slash_;        // route indexes, longest prefix first
};

// If two routes have the same host and prefix, the first one is used.
table make_table(desired_state state);

// The route with the longest matching path prefix; routes that name the host take precedence over
// routes for any host. `host` may include a port, `target` a query. Null if no route matches.
const route* find_route(const table&, std::string_view host, std::string_view target);

} // namespace savoryscale::routes
