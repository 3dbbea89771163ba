#pragma once

// What a caller is told when admission refuses its call.

#include "admission/admission.hpp"
#include "http/head_text.hpp"

namespace savoryscale::http {

// The answer for a refusal: its status, a text with the remedy, and when to come back.
local_answer refusal_answer(const admission::verdict& refused);

} // namespace savoryscale::http
