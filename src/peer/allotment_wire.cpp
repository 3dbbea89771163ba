#include "peer/allotment_wire.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace savoryscale::peer {

namespace {

using organisations::name_hash;
using std::chrono::milliseconds;

constexpr std::uint32_t hosts_max = 100'000;
constexpr std::uint32_t requests_max = 10'000'000;
constexpr std::int64_t wait_max_ms = 60'000;

constexpr std::string_view all_word = "all";
constexpr std::string_view some_word = "some";

error malformed(std::string_view what)
{
    return {error_kind::invalid, "message about allotments", std::string{what},
            "run the same release on all entry hosts"};
}

std::optional<name_hash> read_hash(std::string_view text)
{
    name_hash value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

// A number of requests; one that is negative has been returned.
std::optional<std::int32_t> read_use(std::string_view text)
{
    const bool is_returned = text.starts_with('-');
    text.remove_prefix(is_returned ? 1 : 0);
    const auto read = read_number<std::uint32_t>(text, requests_max);
    if (!read) {
        return std::nullopt;
    }
    const auto used = static_cast<std::int32_t>(*read);
    return is_returned ? -used : used;
}

} // namespace

std::string write_allotment_path(const organisations::use_report& report)
{
    std::string path = fmt::format("{}{:x};{}", allotment_path_prefix, report.host_, report.hosts_);
    for (const organisations::reported_use& use : report.uses_) {
        fmt::format_to(std::back_inserter(path), ";{:x}={},{}", use.organisation_, use.used_,
                       use.wanted_);
    }
    return path;
}

result<organisations::use_report> read_allotment_path(std::string_view path)
{
    if (!path.starts_with(allotment_path_prefix)) {
        return tl::unexpected(malformed("is not a report"));
    }
    path.remove_prefix(allotment_path_prefix.size());
    const auto host = read_hash(take_until(path, ';'));
    const auto hosts = read_number<std::uint32_t>(take_until(path, ';'), hosts_max);
    if (!host || !hosts) {
        return tl::unexpected(malformed("the host or the number of hosts is out of range"));
    }
    organisations::use_report report{*host, *hosts, {}};
    while (!path.empty()) {
        std::string_view use = take_until(path, ';');
        const auto organisation = read_hash(take_until(use, '='));
        const auto used = read_use(take_until(use, ','));
        const auto wanted = read_number<std::uint32_t>(use, requests_max);
        if (!organisation || !used || !wanted ||
            report.uses_.size() >= organisations::reported_organisations_max) {
            return tl::unexpected(malformed("an organisation or its use is out of range"));
        }
        report.uses_.push_back({*organisation, *used, *wanted});
    }
    return report;
}

std::string write_allotment_answer(const organisations::use_answer& answer)
{
    std::string text =
        fmt::format("{} {}", answer.hosts_, answer.all_near_limit_ ? all_word : some_word);
    for (const organisations::use_grant& each : answer.near_limit_) {
        const auto wait = std::chrono::ceil<milliseconds>(each.wait_).count();
        fmt::format_to(std::back_inserter(text), " {:x}={},{}", each.organisation_, each.granted_,
                       std::clamp<std::int64_t>(wait, 0, wait_max_ms));
    }
    return text;
}

result<organisations::use_answer> read_allotment_answer(std::string_view text)
{
    organisations::use_answer answer;
    const auto hosts = read_number<std::uint32_t>(take_until(text, ' '), hosts_max);
    const std::string_view named = take_until(text, ' ');
    if (!hosts || *hosts == 0 || (named != all_word && named != some_word)) {
        return tl::unexpected(malformed("is not an answer about allotments"));
    }
    answer.hosts_ = *hosts;
    answer.all_near_limit_ = named == all_word;
    while (!text.empty()) {
        std::string_view each = take_until(text, ' ');
        const auto organisation = read_hash(take_until(each, '='));
        const auto granted = read_number<std::uint32_t>(take_until(each, ','), requests_max);
        const auto wait = read_number<std::int64_t>(each, wait_max_ms);
        if (!organisation || !granted || !wait ||
            answer.near_limit_.size() >=
                organisations::near_limit_max + organisations::reported_organisations_max) {
            return tl::unexpected(malformed("an organisation or its grant is out of range"));
        }
        answer.near_limit_.push_back({*organisation, *granted, milliseconds{*wait}});
    }
    return answer;
}

} // namespace savoryscale::peer
