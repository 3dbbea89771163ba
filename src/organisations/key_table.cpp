#include "organisations/key_table.hpp"

#include <openssl/sha.h>

namespace savoryscale::organisations {

key_digest digest_of(std::string_view key)
{
    key_digest digest{};
    // The library's interface takes bytes.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return digest;
}

key_table make_key_table(std::span<const organisation> all)
{
    key_table table;
    table.organisations_.reserve(all.size());
    for (const organisation& each : all) {
        const std::size_t index = table.organisations_.size();
        table.organisations_.push_back({each.name_, {}, each.priority_, each.allotment_});
        table.by_name_.emplace(each.name_, index);
        for (const std::string& key : each.keys_) {
            table.by_key_.emplace(digest_of(key), index);
        }
    }
    return table;
}

const organisation* find_by_key(const key_table& table, const key_digest& key)
{
    const auto found = table.by_key_.find(key);
    return found == table.by_key_.end() ? nullptr : &table.organisations_[found->second];
}

const organisation* find_by_name(const key_table& table, std::string_view name)
{
    const auto found = table.by_name_.find(std::string{name});
    return found == table.by_name_.end() ? nullptr : &table.organisations_[found->second];
}

} // namespace savoryscale::organisations
