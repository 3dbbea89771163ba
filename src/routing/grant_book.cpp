#include "routing/grant_book.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::routing {

namespace {

using namespace std::chrono_literals;

// A granter that does not answer is not asked again for this long, doubled with each failure.
constexpr duration unreachable_min = 250ms;
constexpr std::uint32_t unreachable_doublings = 4;

// Denials are remembered for this many targets of each granter.
constexpr std::size_t denials_max = 1024;

// A random part of Retry-After, and its bounds without one.
constexpr duration retry_spread = 500ms;
constexpr duration retry_min = 50ms;
constexpr duration retry_max = 2s;

bool is_denied(const known_granter& granter, std::string_view target, time_point now)
{
    const auto found = granter.denied_until_.find(target);
    return found != granter.denied_until_.end() && found->second > now;
}

} // namespace

std::optional<grant_question> next_question(const grant_book& book,
                                            std::span<const grant_wish> wishes,
                                            const std::vector<bool>& asked, time_point now,
                                            random_source& random)
{
    const std::size_t count = book.granters_.size();
    const std::size_t first = count > 0 ? uniform_below(random, count) : 0;
    for (std::size_t i = 0; i < count; ++i) {
        grant_question question{(first + i) % count, {}};
        const known_granter& granter = book.granters_[question.granter_];
        if (asked[question.granter_] || granter.unreachable_until_ > now) {
            continue;
        }
        for (std::size_t wish = 0; wish < wishes.size(); ++wish) {
            if (!is_denied(granter, wishes[wish].target_, now)) {
                question.wishes_.push_back(wish);
            }
        }
        if (!question.wishes_.empty()) {
            return question;
        }
    }
    return std::nullopt;
}

bool may_be_granted(const grant_book& book, std::string_view target, time_point now)
{
    return std::any_of(book.granters_.begin(), book.granters_.end(), [&](const auto& granter) {
        return granter.unreachable_until_ <= now && !is_denied(granter, target, now);
    });
}

void on_grant_answer(grant_book& book, const grant_question& question,
                     std::span<const grant_wish> wishes, const grant_answer& answer, time_point now)
{
    known_granter& granter = book.granters_[question.granter_];
    granter.failures_ = 0;
    if (granter.denied_until_.size() >= denials_max) {
        std::erase_if(granter.denied_until_,
                      [now](const auto& each) { return each.second <= now; });
    }
    const std::size_t known = std::min(answer.waits_.size(), question.wishes_.size());
    for (std::size_t i = 0; i < known && granter.denied_until_.size() < denials_max; ++i) {
        granter.denied_until_[wishes[question.wishes_[i]].target_] = now + answer.waits_[i];
    }
}

void on_granter_failed(grant_book& book, std::size_t granter, time_point now)
{
    known_granter& failed = book.granters_[granter];
    failed.unreachable_until_ = now + unreachable_min * (1U << failed.failures_);
    failed.failures_ = std::min(failed.failures_ + 1, unreachable_doublings);
}

duration retry_after_denial(const grant_book& book, std::span<const grant_wish> wishes,
                            time_point now, random_source& random)
{
    time_point earliest = now + retry_max;
    for (const known_granter& granter : book.granters_) {
        for (const grant_wish& wish : wishes) {
            const auto denied = granter.denied_until_.find(wish.target_);
            const time_point until =
                denied == granter.denied_until_.end() ? now : std::max(denied->second, now);
            earliest = std::min(earliest, std::max(until, granter.unreachable_until_));
        }
    }
    const duration spread{static_cast<std::int64_t>(uniform_unit(random) *
                                                    static_cast<double>(retry_spread.count()))};
    return std::max(retry_min, earliest - now) + spread;
}

} // namespace savoryscale::routing
