#include "plans/entry.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace savoryscale::plans {

namespace {

std::uint64_t digest_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::string to_pointer(const entry_id& entry)
{
    const std::string_view list = entry.list_ == list_kind::customers ? "customers" : "plans";
    return fmt::format("/{}/{}", list, entry.name_);
}

std::uint64_t digest(const customer& entry)
{
    return digest_of(entry.plan_);
}

std::uint64_t digest(const plan& entry)
{
    std::string text;
    for (const allowance& each : entry.allowances_) {
        text += fmt::format("{}\n{}\n{}\n{}\n{}\n", each.service_, each.calls_per_second_,
                            each.burst_calls_, each.concurrency_,
                            static_cast<unsigned>(each.priority_));
    }
    return digest_of(text);
}

} // namespace savoryscale::plans
