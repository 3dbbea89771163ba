#pragma once

// Counts the spans that a stand-in trace collector received, by name.

#include "common/json_server.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace savoryscale::standins {

class span_store {
public:
    // POST /v1/traces adds spans; GET /counts returns the number of spans by name, and "traces",
    // the number of distinct traces.
    control_reply handle(const control_request& request);

private:
    control_reply add(const std::string& body);
    control_reply counts() const;

    std::map<std::string, std::uint64_t> spans_;
    std::set<std::string> traces_;
};

} // namespace savoryscale::standins
