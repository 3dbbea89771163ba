#include "directory/host_table.hpp"

#include "base/text.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace savoryscale::directory {

namespace {

constexpr std::size_t name_max = 64;
constexpr int hexadecimal = 16;

// A list of hosts names a host's formats as one more service, with this value plus their number.
// Releases before the first formats pass it on without a meaning.
constexpr service_hash formats_marker = 0xffff0000;
constexpr peer::format_number formats_max = 0xff;

bool is_plain_name(std::string_view name)
{
    return name.size() <= name_max && std::all_of(name.begin(), name.end(), [](char each) {
               return std::isalnum(static_cast<unsigned char>(each)) != 0 || each == '.' ||
                      each == '_' || each == '-';
           });
}

std::optional<settings::endpoint> read_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon > name_max) {
        return std::nullopt;
    }
    const auto port = read_number<std::uint16_t>(text.substr(colon + 1),
                                                 std::numeric_limits<std::uint16_t>::max());
    if (!port || *port == 0) {
        return std::nullopt;
    }
    return settings::endpoint{std::string{text.substr(0, colon)}, *port};
}

std::optional<announced_host> read_host(std::string_view text)
{
    const auto relay = read_endpoint(take_until(text, '='));
    const std::string_view data_centre = take_until(text, '=');
    if (!relay || !is_plain_name(data_centre)) {
        return std::nullopt;
    }
    announced_host host{*relay, std::string{data_centre}, {}};
    while (!text.empty()) {
        const std::string_view part = take_until(text, ',');
        service_hash hash = 0;
        const char* end = part.data() + part.size();
        const auto parsed = std::from_chars(part.data(), end, hash, hexadecimal);
        if (parsed.ec != std::errc{} || parsed.ptr != end ||
            host.unreached_.size() > unreached_services_max) {
            return std::nullopt;
        }
        if (hash > formats_marker && hash <= formats_marker + formats_max) {
            host.formats_ = hash - formats_marker;
        }
        else {
            host.unreached_.push_back(hash);
        }
    }
    return host;
}

} // namespace

service_hash hash_of_service(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

std::string write_hosts(std::span<const announced_host> hosts)
{
    std::string text;
    for (const announced_host& host : hosts) {
        text += fmt::format("{}={}=", to_string(host.relay_),
                            is_plain_name(host.data_centre_) ? host.data_centre_ : "");
        std::vector<service_hash> named = host.unreached_;
        named.resize(std::min(named.size(), unreached_services_max));
        if (host.formats_ != peer::first_formats) {
            named.push_back(formats_marker + host.formats_);
        }
        text += fmt::format("{:x}", fmt::join(named, ","));
        text += ';';
    }
    return text;
}

std::optional<std::vector<announced_host>> read_hosts(std::string_view text)
{
    std::vector<announced_host> hosts;
    while (!text.empty()) {
        auto host = read_host(take_until(text, ';'));
        if (!host || hosts.size() == host_table_max) {
            return std::nullopt;
        }
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

void on_host_heard(host_table& table, const announced_host& host, time_point now)
{
    if (table.entries_.size() >= host_table_max) {
        std::erase_if(table.entries_, [now](const auto& one) {
            return now - one.second.heard_at_ >= host_lifetime;
        });
    }
    const std::string address = to_string(host.relay_);
    if (table.entries_.size() < host_table_max || table.entries_.count(address) > 0) {
        table.entries_[address] = {host, now};
    }
}

std::vector<announced_host> sample_hosts(const host_table& table, std::string_view data_centre,
                                         std::size_t count, time_point now, random_source& random)
{
    std::vector<announced_host> live;
    for (const auto& [address, entry] : table.entries_) {
        if (now - entry.heard_at_ < host_lifetime) {
            live.push_back(entry.host_);
        }
    }
    std::shuffle(live.begin(), live.end(), random);
    std::stable_partition(live.begin(), live.end(), [&](const announced_host& host) {
        return host.data_centre_ == data_centre;
    });
    live.resize(std::min(live.size(), count));
    return live;
}

} // namespace savoryscale::directory
