#include "http/head_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <span>
#include <vector>

namespace savoryscale::http {

namespace {

constexpr std::array<std::string_view, 10> connection_fields{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "Proxy-Connection",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Content-Length"};

constexpr std::array<std::string_view, 5> locally_set_fields{"Expect", outcome_field, "traceparent",
                                                             relayed_caller_field, unreached_field};

// An address has no such part.
constexpr std::string_view organisation_separator = "; organisation=";

struct status_text {
    int status_;
    std::string_view text_;
};

constexpr std::array<status_text, 17> status_texts{{{400, "Bad Request"},
                                                    {401, "Unauthorized"},
                                                    {403, "Forbidden"},
                                                    {404, "Not Found"},
                                                    {408, "Request Timeout"},
                                                    {409, "Conflict"},
                                                    {413, "Content Too Large"},
                                                    {421, "Misdirected Request"},
                                                    {422, "Unprocessable Content"},
                                                    {429, "Too Many Requests"},
                                                    {431, "Request Header Fields Too Large"},
                                                    {500, "Internal Server Error"},
                                                    {501, "Not Implemented"},
                                                    {502, "Bad Gateway"},
                                                    {503, "Service Unavailable"},
                                                    {504, "Gateway Timeout"},
                                                    {505, "HTTP Version Not Supported"}}};

std::string_view reason_phrase(int status)
{
    const auto found = std::find_if(status_texts.begin(), status_texts.end(),
                                    [&](const status_text& row) { return row.status_ == status; });
    return found == status_texts.end() ? "Error" : found->text_;
}

template<std::size_t Count>
bool is_among(const std::array<std::string_view, Count>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
        return equal_ignoring_case(candidate, name);
    });
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_less_ignoring_case(std::string_view left, std::string_view right)
{
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                        [](char a, char b) {
                                            return std::tolower(static_cast<unsigned char>(a)) <
                                                   std::tolower(static_cast<unsigned char>(b));
                                        });
}

// Names that the Connection fields list, sorted: there may be thousands, as of fields.
std::vector<std::string_view> names_in_connection(const message_head& head)
{
    std::vector<std::string_view> names;
    for (const header_field& field : head.fields_) {
        if (!equal_ignoring_case(field.name_, "Connection")) {
            continue;
        }
        std::string_view rest{field.value_};
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.push_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    std::sort(names.begin(), names.end(), is_less_ignoring_case);
    return names;
}

bool is_removed(std::string_view name, std::span<const std::string_view> in_connection,
                const settings::header_names& names)
{
    return is_among(connection_fields, name) || is_among(locally_set_fields, name) ||
           equal_ignoring_case(name, names.deadline_) ||
           (!names.caller_sets_request_id_ && equal_ignoring_case(name, names.request_id_)) ||
           (!names.expect_instance_.empty() && equal_ignoring_case(name, names.expect_instance_)) ||
           std::binary_search(in_connection.begin(), in_connection.end(), name,
                              is_less_ignoring_case);
}

void append_fields(std::string& text, const message_head& head, const settings::header_names& names)
{
    const std::vector<std::string_view> in_connection = names_in_connection(head);
    for (const header_field& field : head.fields_) {
        if (is_removed(field.name_, in_connection, names)) {
            continue;
        }
        text.append(field.name_).append(": ").append(field.value_).append("\r\n");
    }
}

void append_framing(std::string& text, const message_head& head)
{
    if (head.chunked_) {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    else if (head.content_length_) {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", *head.content_length_);
    }
}

} // namespace

bool is_hop_by_hop(const message_head& head, std::string_view name,
                   const settings::header_names& names)
{
    return is_removed(name, names_in_connection(head), names);
}

std::string upstream_request_text(const request_head& head, const forwarded_fields& added,
                                  const settings::header_names& names)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method_, head.target_);
    append_fields(text, head, names);
    append_framing(text, head);
    if (!added.traceparent_.empty()) {
        text.append("traceparent: ").append(added.traceparent_).append("\r\n");
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(added.remaining_);
    fmt::format_to(std::back_inserter(text), "{}: {}\r\n", names.deadline_,
                   std::max<std::int64_t>(remaining.count(), 1));
    if (!names.caller_sets_request_id_) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", names.request_id_,
                       added.request_id_);
    }
    if (!added.expect_instance_.empty()) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", names.expect_instance_,
                       added.expect_instance_);
    }
    if (!added.organisation_.empty() && !names.organisation_.empty()) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", names.organisation_,
                       added.organisation_);
    }
    if (!added.relayed_caller_.empty()) {
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", relayed_caller_field,
                       added.relayed_caller_);
    }
    if (!added.allow_inner_retries_ && !has_field(head, no_retry_field)) {
        fmt::format_to(std::back_inserter(text), "{}: 1\r\n", no_retry_field);
    }
    text.append("\r\n");
    return text;
}

std::string caller_answer_text(const answer_head& head, bool close,
                               const settings::header_names& names)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, head.reason_);
    append_fields(text, head, names);
    append_framing(text, head);
    if (close) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    return text;
}

bool has_matching_request_id(const answer_head& head, std::string_view request_id,
                             const settings::header_names& names)
{
    const std::string_view echoed = find_field(head, names.request_id_);
    return echoed.empty() || echoed == request_id;
}

std::string local_answer_text(const local_answer& answer, bool without_body)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n"
                                   "Content-Length: {}\r\n{}: {}\r\n",
                                   answer.status_, reason_phrase(answer.status_),
                                   answer.text_.size() + 1, outcome_field, answer.outcome_);
    if (answer.retry_after_) {
        const std::chrono::duration<double> exact{*answer.retry_after_};
        const auto rounded_up = std::chrono::ceil<std::chrono::seconds>(*answer.retry_after_);
        text += answer.fractional_ ? fmt::format("Retry-After: {:.3f}\r\n", exact.count())
                                   : fmt::format("Retry-After: {}\r\n", rounded_up.count());
    }
    if (answer.targets_unreached_) {
        text.append(unreached_field).append(": 1\r\n");
    }
    if (answer.close_) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    if (!without_body) {
        text.append(answer.text_).append("\n");
    }
    return text;
}

std::string relayed_caller_text(const relayed_caller& caller)
{
    std::string text{caller.ip_};
    if (!caller.organisation_.empty()) {
        text.append(organisation_separator).append(caller.organisation_);
    }
    return text;
}

relayed_caller read_relayed_caller(const message_head& head)
{
    const std::string_view text = find_field(head, relayed_caller_field);
    const std::size_t at = text.find(organisation_separator);
    if (at == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, at), text.substr(at + organisation_separator.size())};
}

std::string chunk_text(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    std::string text = fmt::format("{:x}\r\n", bytes.size());
    text.append(bytes).append("\r\n");
    return text;
}

} // namespace savoryscale::http
