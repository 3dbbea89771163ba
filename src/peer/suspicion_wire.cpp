#include "peer/suspicion_wire.hpp"

#include "admission/quarantine.hpp"
#include "base/text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>

namespace savoryscale::peer {

namespace {

constexpr std::uint32_t lifetime_max_s = 3600;

error malformed(std::string_view what)
{
    return {error_kind::invalid, "message about suspicions", std::string{what},
            "run the same release on all entry hosts"};
}

} // namespace

std::string write_suspicions(std::span<const fact> suspicions, std::size_t bytes_max)
{
    std::string text;
    for (const fact& each : suspicions) {
        const std::string part =
            fmt::format("{}={}={};", each.subject_, each.lifetime_s_, each.payload_);
        if (text.size() + part.size() > bytes_max) {
            break;
        }
        text += part;
    }
    return text;
}

std::string write_suspicions_path(std::span<const fact> suspicions)
{
    return std::string{suspicions_path_prefix} + write_suspicions(suspicions, suspicions_path_max);
}

result<std::vector<fact>> read_suspicions(std::string_view text)
{
    std::vector<fact> all;
    while (!text.empty()) {
        std::string_view part = take_until(text, ';');
        fact read{fact_kind::suspicion, std::string{take_until(part, '=')}, 0, {}, 0};
        const auto lifetime = read_number<std::uint32_t>(take_until(part, '='), lifetime_max_s);
        read.payload_ = part;
        if (!lifetime || !admission::is_valid(read)) {
            return tl::unexpected(malformed("a suspicion cannot be read"));
        }
        read.lifetime_s_ = *lifetime;
        all.push_back(std::move(read));
    }
    return all;
}

result<std::vector<fact>> read_suspicions_path(std::string_view path)
{
    if (!path.starts_with(suspicions_path_prefix)) {
        return tl::unexpected(malformed("is not a message about suspicions"));
    }
    return read_suspicions(path.substr(suspicions_path_prefix.size()));
}

} // namespace savoryscale::peer
