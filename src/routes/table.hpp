#pragma once

// Finds the route of a request. A lookup costs one hash for each slash of the path, however many
// routes there are.

#include "routes/route.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savoryscale::routes {

struct table {
    desired_state state_;
    std::unordered_map<std::string, std::size_t> by_prefix_; // host, NUL, prefix that ends in '/'
    std::vector<std::size_t> loose_; // prefixes that end elsewhere, longest first
};

// Of two routes with the same host and prefix the first one counts.
table make_table(desired_state state);

// The route of the longest prefix that begins the path; those that name the host go before those
// for any. `host` may carry a port, `target` a query. None when no route fits.
const route* find_route(const table&, std::string_view host, std::string_view target);

} // namespace savoryscale::routes
