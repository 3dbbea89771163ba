#include "store/http_host_list_client.hpp"

#include "store/tolerant_json.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <utility>

namespace savoryscale::store {

namespace {

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

// Throws unless the member is a whole number of the type and at least `min`; get() alone would
// convert others.
template<typename Number>
Number unsigned_at(const json& from, const char* name, Number min)
{
    const json& value = from.at(name);
    const auto number = value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
    if (!value.is_number_unsigned() || number < min ||
        number > std::numeric_limits<Number>::max()) {
        throw json::type_error::create(302, std::string{name} + " is out of range", &value);
    }
    return static_cast<Number>(number);
}

// Parses one host. Returns nothing if this release does not know its kind. Throws if the host is
// malformed.
std::optional<listed_host> parse_host(const json& from)
{
    const auto kind = from.at("kind").get<std::string>();
    if (kind != "entry" && kind != "target") {
        return std::nullopt;
    }
    listed_host host;
    host.id_ = from.at("id").get<std::string>();
    host.kind_ = kind == "entry" ? host_kind::entry : host_kind::target;
    host.service_ = from.value("service", std::string{});
    host.data_centre_ = from.at("data_centre").get<std::string>();
    host.address_ = {from.at("ip").get<std::string>(), unsigned_at<std::uint16_t>(from, "port", 1)};
    host.incarnation_ = unsigned_at<std::uint64_t>(from, "incarnation", 0);
    host.leaving_ = from.at("leaving").get<bool>();
    return host;
}

} // namespace

host_list_reply parse_host_list(const http_answer& answer)
{
    if (answer.outcome_ == http_outcome::not_sent) {
        return {call_status::not_sent, {}};
    }
    if (answer.outcome_ == http_outcome::unknown) {
        return {};
    }
    if (answer.status_ == http_too_many_requests || answer.status_ == http_unavailable) {
        return {call_status::unavailable, {}};
    }
    const json root = parse_tolerantly(answer.body_);
    const auto hosts = root.is_object() ? root.find("hosts") : root.end();
    if (answer.status_ != http_ok || hosts == root.end()) {
        return {};
    }
    host_list_reply reply{call_status::ok, {}};
    for (const json& each : *hosts) {
        try {
            if (auto host = parse_host(each)) {
                reply.hosts_.push_back(std::move(*host));
            }
        }
        catch (const json::exception&) {
            ++reply.unreadable_;
        }
    }
    const bool none_readable = reply.hosts_.empty() && reply.unreadable_ > 0;
    return none_readable ? host_list_reply{} : reply;
}

http_host_list_client::http_host_list_client(std::vector<settings::endpoint> addresses)
    : addresses_{std::move(addresses)}
{
}

void http_host_list_client::fetch(duration timeout, std::function<void(host_list_reply)> done)
{
    http_request request;
    request.destination_ = addresses_[next_address_ % addresses_.size()];
    request.path_ = "/v1/hosts";
    request.timeout_ = timeout;
    request.done_ = [this, done = std::move(done)](const http_answer& answer) {
        host_list_reply reply = parse_host_list(answer);
        if (reply.status_ != call_status::ok) {
            ++next_address_;
        }
        done(std::move(reply));
    };
    http_client_.submit(std::move(request));
}

} // namespace savoryscale::store
