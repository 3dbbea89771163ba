// Texts of the two lists: a file either has faults with place and remedy, or can be applied, and
// what it makes survives printing and parsing. The same for the stored text, which peers send.

#include "plans/change.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace savoryscale;

void expect(bool good)
{
    if (!good) {
        std::abort();
    }
}

void expect_faults(const std::vector<error>& faults)
{
    expect(!faults.empty());
    for (const error& each : faults) {
        expect(!each.where_.empty() && !each.what_.empty() && !each.remedy_.empty());
    }
}

void try_file(std::string_view text)
{
    const auto file = plans::parse_edited_file(text, "fuzz");
    if (!file) {
        expect_faults(file.error());
        return;
    }
    const auto result = plans::apply_change({}, *file, 0);
    if (result.verdict_ == plans::verdict::applied) {
        const auto again = plans::parse_configuration(plans::print(result.next_), "fuzz");
        expect(again.has_value() && *again == result.next_);
    }
}

void try_stored(std::string_view text)
{
    const auto stored = plans::parse_configuration(text, "fuzz");
    if (!stored) {
        expect_faults(stored.error());
        return;
    }
    const auto again = plans::parse_configuration(plans::print(*stored), "fuzz");
    expect(again.has_value() && *again == *stored);
    const auto pulled = plans::parse_edited_file(plans::print_edited_file(*stored), "fuzz");
    expect(pulled.has_value());
    const auto unchanged = plans::apply_change(*stored, *pulled, 0);
    expect(unchanged.verdict_ == plans::verdict::already_in_force);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    try_file(text);
    try_stored(text);
    return 0;
}
