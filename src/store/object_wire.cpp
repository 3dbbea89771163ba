#include "store/object_wire.hpp"

#include "base/percent_encoding.hpp"
#include "store/tolerant_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace savoryscale::store {

namespace {

using nlohmann::json;

// The API is asked to answer a watch before the caller's timeout, by at most this margin.
constexpr std::chrono::milliseconds watch_margin{500};

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_too_large = 413;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

// Keys keep their slashes.
std::string encoded_key(std::string_view key)
{
    constexpr std::string_view slash = "%2F";
    std::string encoded = percent_encoded(key);
    for (auto at = encoded.find(slash); at != std::string::npos; at = encoded.find(slash, at)) {
        encoded.replace(at, slash.size(), 1, '/');
    }
    return encoded;
}

std::string print_value(const std::string& value)
{
    return json{{"value", value}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t wait_ms(duration timeout)
{
    const duration margin = std::min(duration{watch_margin}, timeout / 4);
    return std::chrono::duration_cast<std::chrono::milliseconds>(timeout - margin).count();
}

call_status status_of(int http_status)
{
    switch (http_status) {
    case http_ok:
        return call_status::ok;
    case http_not_found:
        return call_status::not_found;
    case http_conflict:
        return call_status::conflict;
    case http_bad_request:
    case http_too_large:
        return call_status::rejected;
    case http_too_many_requests:
    case http_unavailable:
        return call_status::unavailable;
    default:
        return call_status::unknown;
    }
}

std::optional<object> parse_object(const json& from)
{
    try {
        const json& version = from.at("version");
        if (!version.is_number_unsigned()) {
            return std::nullopt;
        }
        return object{from.at("key").get<std::string>(), from.value("value", std::string{}),
                      version.get<std::uint64_t>()};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

object_page parse_page(const std::string& body, operation answered)
{
    object_page page;
    const json root = parse_tolerantly(body);
    if (root.is_discarded()) {
        return page;
    }
    try {
        for (const json& each : root.at("objects")) {
            if (auto parsed = parse_object(each)) {
                page.reply_.objects_.push_back(std::move(*parsed));
            }
            else if (answered == operation::list) {
                ++page.reply_.unreadable_;
            }
            else {
                return {};
            }
        }
        const auto next = root.find("next");
        if (next != root.end()) {
            const auto bytes = bytes_of_unreadable_string(*next);
            page.next_ = bytes ? *bytes : next->get<std::string>();
        }
        page.reply_.status_ = call_status::ok;
        return page;
    }
    catch (const json::exception&) {
        return {};
    }
}

} // namespace

http_request to_request(const object_call& call, std::string_view after)
{
    const std::string path = "/v1/objects/" + encoded_key(call.key_);
    http_request request;
    request.timeout_ = call.timeout_;
    switch (call.operation_) {
    case operation::get:
        request.path_ = path;
        break;
    case operation::list:
        request.path_ = fmt::format("/v1/objects?prefix={}&after={}", encoded_key(call.key_),
                                    encoded_key(after));
        break;
    case operation::create:
        request.method_ = "PUT";
        request.path_ = path + "?absent=true";
        request.body_ = print_value(call.value_);
        break;
    case operation::update:
        request.method_ = "PUT";
        request.path_ = fmt::format("{}?version={}", path, call.expected_version_);
        request.body_ = print_value(call.value_);
        break;
    case operation::remove:
        request.method_ = "DELETE";
        request.path_ = fmt::format("{}?version={}", path, call.expected_version_);
        break;
    case operation::watch:
        request.path_ = fmt::format("{}?above={}&wait_ms={}", path, call.expected_version_,
                                    wait_ms(call.timeout_));
        break;
    }
    return request;
}

object_page parse_answer(const http_answer& answer, operation answered)
{
    object_page page;
    if (answer.outcome_ == http_outcome::not_sent) {
        page.reply_.status_ = call_status::not_sent;
        return page;
    }
    if (answer.outcome_ == http_outcome::unknown) {
        return page;
    }
    if (answer.status_ == http_ok) {
        return parse_page(answer.body_, answered);
    }
    page.reply_.status_ = status_of(answer.status_);
    return page;
}

} // namespace savoryscale::store
