#pragma once

// Encoding of the reports on the use of allotments that entry hosts send to a granter; see
// organisations/allotment.hpp. The report is the path of a GET, the answer a line of text.

#include "base/error.hpp"
#include "organisations/allotment.hpp"

#include <string>
#include <string_view>

namespace savoryscale::peer {

inline constexpr std::string_view allotment_path_prefix = "/allotments?";

// "/allotments?HOST;HOSTS;ORGANISATION=USED,WANTED;...", names as hashes in hexadecimal digits.
std::string write_allotment_path(const organisations::use_report& report);

// Errors: invalid, when it does not parse or a value exceeds its limit.
result<organisations::use_report> read_allotment_path(std::string_view path);

// "HOSTS some|all ORGANISATION=GRANTED,WAIT_MS ...".
std::string write_allotment_answer(const organisations::use_answer& answer);
result<organisations::use_answer> read_allotment_answer(std::string_view text);

} // namespace savoryscale::peer
