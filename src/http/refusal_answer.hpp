#pragma once

// The answer to a caller whose call admission refused.

#include "admission/admission.hpp"
#include "admission/send_check.hpp"
#include "http/head_text.hpp"

namespace savoryscale::http {

// Builds the answer for a refusal: status, a text that says what to do, and Retry-After.
local_answer refusal_answer(const admission::verdict& refused);
local_answer refusal_answer(const admission::send_verdict& refused);

} // namespace savoryscale::http
