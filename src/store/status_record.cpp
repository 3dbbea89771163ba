#include "store/status_record.hpp"

#include <nlohmann/json.hpp>

namespace savoryscale::store {

namespace {

using nlohmann::json;

error invalid_record(std::string what)
{
    return {error_kind::invalid, "status record", std::move(what),
            "wait for the data centre's reporter to write it again"};
}

// Parses a version. Rejects negative and fractional numbers, which get() would convert silently.
std::uint64_t parse_held_version(const json& host)
{
    const json& version = host.at("held_version");
    if (!version.is_number_unsigned()) {
        throw json::type_error::create(302, "held_version is not an unsigned integer", &version);
    }
    return version.get<std::uint64_t>();
}

} // namespace

std::string status_key(std::string_view data_centre)
{
    return std::string{status_prefix} + std::string{data_centre};
}

std::string print(const status_record& record)
{
    json hosts = json::array();
    for (const host_version_report& host : record.hosts_) {
        hosts.push_back({{"id", host.id_},
                         {"held_version", host.held_version_},
                         {"behind_reason", host.behind_reason_}});
    }
    const json root{{"data_centre", record.data_centre_},
                    {"reporter", record.reporter_},
                    {"written_ms", record.written_ms_},
                    {"hosts", std::move(hosts)}};
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<status_record> parse_status_record(std::string_view text)
{
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded()) {
        return tl::unexpected{invalid_record("is not valid JSON")};
    }
    try {
        status_record record;
        record.data_centre_ = root.at("data_centre").get<std::string>();
        record.reporter_ = root.at("reporter").get<std::string>();
        record.written_ms_ = root.at("written_ms").get<std::int64_t>();
        for (const json& host : root.at("hosts")) {
            record.hosts_.push_back({host.at("id").get<std::string>(), parse_held_version(host),
                                     host.at("behind_reason").get<std::string>()});
        }
        return record;
    }
    catch (const json::exception& parse_error) {
        return tl::unexpected{invalid_record(parse_error.what())};
    }
}

} // namespace savoryscale::store
