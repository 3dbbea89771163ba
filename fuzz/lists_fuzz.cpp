// Fuzzes the parsers of the two lists: a file either has errors with place and remedy, or can be
// applied, and the result is the same after printing and parsing it. The same holds for the stored
// text, which peers send.

#include "plans/change.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace savoryscale;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void require_errors(const std::vector<error>& errors)
{
    require(!errors.empty());
    for (const error& each : errors) {
        require(!each.where_.empty() && !each.what_.empty() && !each.remedy_.empty());
    }
}

void try_file(std::string_view text)
{
    const auto file = plans::parse_edited_file(text, "fuzz");
    if (!file) {
        require_errors(file.error());
        return;
    }
    const auto result = plans::apply_change({}, *file, 0);
    if (result.change_outcome_ == plans::change_outcome::applied) {
        const auto again = plans::parse_configuration(plans::print(result.next_), "fuzz");
        require(again.has_value() && *again == result.next_);
    }
}

void try_stored(std::string_view text)
{
    const auto stored = plans::parse_configuration(text, "fuzz");
    if (!stored) {
        require_errors(stored.error());
        return;
    }
    const auto again = plans::parse_configuration(plans::print(*stored), "fuzz");
    require(again.has_value() && *again == *stored);
    const auto pulled = plans::parse_edited_file(plans::print_edited_file(*stored), "fuzz");
    require(pulled.has_value());
    const auto unchanged = plans::apply_change(*stored, *pulled, 0);
    require(unchanged.change_outcome_ == plans::change_outcome::already_in_force);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    try_file(text);
    try_stored(text);
    return 0;
}
