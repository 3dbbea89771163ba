#pragma once

// Typed errors. Every error says where the fault is and what to do about it.

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace savoryscale {

// What went wrong, as far as a caller of the library can act on it.
enum class error_kind {
    invalid,     // input breaks a rule; mend the input
    not_found,   // the named thing does not exist
    conflict,    // another change came first; read again and decide
    stale,       // the input was derived from a state that has since moved on
    unavailable, // the other side did not answer; trying again later may help
    unknown,     // the effect may or may not have happened; settle by reading
    exhausted,   // a limit or budget is used up
    internal,    // a fault in this program
};

// One fault. `where_` is a file, a JSON pointer or an address.
struct error {
    error_kind kind_ = error_kind::internal;
    std::string where_;
    std::string what_;
    std::string remedy_;
};

// A value, or the one fault that prevented it.
template<class T>
using result = tl::expected<T, error>;

// A value, or every fault found in one pass over the input.
template<class T>
using checked = tl::expected<T, std::vector<error>>;

// Renders "where: what; remedy" on one line.
std::string to_string(const error& fault);

} // namespace savoryscale
