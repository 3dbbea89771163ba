#include "peer/grant_wire.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <optional>

namespace savoryscale::peer {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t target_length_max = 64;
constexpr double per_second_max = 1e6;
constexpr std::int64_t time_max_ms = 86'400'000;

constexpr std::string_view granted_word = "granted";
constexpr std::string_view denied_word = "denied";

error malformed(std::string_view what)
{
    return {error_kind::invalid, "message about grants", std::string{what},
            "run the same release on all entry hosts"};
}

std::int64_t whole_ms(duration time)
{
    return std::clamp<std::int64_t>(std::chrono::ceil<milliseconds>(time).count(), 0, time_max_ms);
}

} // namespace

std::string write_grant_path(const routing::grant_request& request)
{
    std::string path = fmt::format("{}{}", grant_path_prefix, request.priority_);
    for (const routing::grant_wish& wish : request.wishes_) {
        path += fmt::format(";{}={}@{}", wish.target_, wish.per_second_, whole_ms(wish.age_));
    }
    return path;
}

result<routing::grant_request> read_grant_path(std::string_view path)
{
    if (!path.starts_with(grant_path_prefix)) {
        return tl::unexpected(malformed("is not a request for a grant"));
    }
    path.remove_prefix(grant_path_prefix.size());
    const auto priority = read_number<std::uint32_t>(take_until(path, ';'), UINT32_MAX);
    if (!priority) {
        return tl::unexpected(malformed("the priority is not a number"));
    }
    routing::grant_request request{*priority, {}};
    while (!path.empty()) {
        std::string_view wish = take_until(path, ';');
        const std::string_view target = take_until(wish, '=');
        const auto per_second = read_number(take_until(wish, '@'), per_second_max);
        const auto age = read_number(wish, time_max_ms);
        if (target.empty() || target.size() > target_length_max || !per_second || !age ||
            request.wishes_.size() >= grant_wishes_max) {
            return tl::unexpected(malformed("a target, a limit or an age is out of range"));
        }
        request.wishes_.push_back({std::string{target}, *per_second, milliseconds{*age}});
    }
    return request;
}

std::string write_grant_answer(const routing::grant_answer& answer)
{
    if (answer.granted_) {
        return fmt::format("{} {}", granted_word, *answer.granted_);
    }
    std::string text{denied_word};
    for (const duration wait : answer.waits_) {
        text += fmt::format(" {}", whole_ms(wait));
    }
    return text;
}

result<routing::grant_answer> read_grant_answer(std::string_view text)
{
    routing::grant_answer answer;
    const std::string_view word = take_until(text, ' ');
    if (word == granted_word) {
        answer.granted_ = read_number<std::size_t>(text, grant_wishes_max - 1);
        if (!answer.granted_) {
            return tl::unexpected(malformed("the index of the grant is out of range"));
        }
        return answer;
    }
    if (word != denied_word) {
        return tl::unexpected(malformed("is not an answer about a grant"));
    }
    while (!text.empty()) {
        const auto wait = read_number(take_until(text, ' '), time_max_ms);
        if (!wait || answer.waits_.size() >= grant_wishes_max) {
            return tl::unexpected(malformed("a wait is out of range"));
        }
        answer.waits_.emplace_back(milliseconds{*wait});
    }
    return answer;
}

} // namespace savoryscale::peer
