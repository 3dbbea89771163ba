#pragma once

// What a stand-in collector keeps: every span it was sent, by name.

#include "common/json_server.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace savoryscale::standins {

class span_store {
public:
    // POST /v1/traces adds spans; GET /counts answers the number of spans by name, and "traces",
    // the number of different traces.
    control_reply handle(const control_request& request);

private:
    control_reply add(const std::string& body);
    control_reply counts() const;

    std::map<std::string, std::uint64_t> spans_;
    std::set<std::string> traces_;
};

} // namespace savoryscale::standins
