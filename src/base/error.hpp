#pragma once

// Typed errors. Every error says where it occurred and what to do about it.

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace savoryscale {

// Classes of errors that a caller of the library handles differently.
enum class error_kind {
    invalid,     // the input violates a rule; correct the input
    not_found,   // the named object does not exist
    conflict,    // another change was made first; read again before deciding
    stale,       // the input was derived from a state that has changed since
    unavailable, // the other side did not answer; a later retry may succeed
    unknown,     // the operation may or may not have taken effect; read the state to find out
    exhausted,   // a limit or budget is used up
    internal,    // a bug in this program
};

// One error. `where_` is a file, a JSON pointer or an address.
struct error {
    error_kind kind_ = error_kind::internal;
    std::string where_;
    std::string what_;
    std::string remedy_;
};

// A value, or the one error that prevented it.
template<class T>
using result = tl::expected<T, error>;

// A value, or all errors found in one pass over the input.
template<class T>
using validated = tl::expected<T, std::vector<error>>;

// Renders "where: what; remedy" on one line.
std::string to_string(const error& failure);

} // namespace savoryscale
