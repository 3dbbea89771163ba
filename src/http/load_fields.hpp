#pragma once

// Load that a target reports about itself, in the fields of its answers and in its probe answers.

#include "http/head.hpp"
#include "routing/target.hpp"

#include <optional>
#include <string_view>

namespace savoryscale::http {

// Reads X-Load-In-Flight, X-Load-Utilization and X-Draining. None when the answer carries no load;
// fields that are no numbers are ignored, since reports may mislead but must not break a call.
std::optional<routing::load_report> read_load(const answer_head& head);

// Reads "running,waiting,slots" or "running,waiting,slots,percent of the usual time" from the field
// of that name. None when it is absent or malformed.
std::optional<routing::load_report> read_compact_load(const answer_head& head,
                                                      std::string_view field_name);

// Reads a probe's JSON answer: {"in_flight": 2, "utilization": 0.5, "draining": false}, each part
// optional. None when it is no such object.
std::optional<routing::load_report> parse_load(std::string_view text);

} // namespace savoryscale::http
