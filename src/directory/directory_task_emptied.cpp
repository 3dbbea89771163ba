// The part of the directory task that follows the data centres to be emptied.

#include "directory/dialect.hpp"
#include "directory/directory_task.hpp"
#include "http/event_loop.hpp"
#include "http/log_fields.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

// How long the store may hold a watch without changes, as a fraction of the bound. A watch on a
// connection that went silent is given up 1.5 s after that; then half of the bound is left.
constexpr double wait_fraction = 0.25;

} // namespace

bool directory_task::follows_emptied() const
{
    return config_.evacuation_ > settings::seconds::zero() && !dialect_.emptied_kind_.empty();
}

// A host that starts serves nobody before it knows the list, for as long as the bound allows.
bool directory_task::is_emptied_known() const
{
    return !follows_emptied() || feed_.emptied_ || loop_.now() - source_.started_ >= bound();
}

duration directory_task::bound() const
{
    return std::chrono::duration_cast<duration>(config_.evacuation_);
}

void directory_task::start_emptied()
{
    if (!follows_emptied()) {
        return;
    }
    const auto wait = std::chrono::duration_cast<duration>(config_.evacuation_ * wait_fraction);
    emptied_.set_pace(duration::zero(), wait);
    emptied_timer_ = loop_.at(source_.started_ + bound(), [this] {
        emptied_timer_ = 0;
        if (!feed_.emptied_) {
            telemetry::state_change("emptied_data_centres_unknown",
                                    {{"after_ms", http::log_ms(bound())}},
                                    telemetry::severity::warning);
            events_.on_emptied_({});
            after_update();
        }
    });
}

// Starts or stops the calls to the store that follow the list. While the store may be unavailable,
// only targets are requested, so that an outage costs no more calls.
void directory_task::check_emptied_source(time_point now)
{
    if (!follows_emptied()) {
        return;
    }
    const bool needed = is_store_needed(source_of(emptied_source_, source_, bound()), now);
    if (!needed) {
        emptied_.stop();
    }
    else if (!emptied_.is_running() && !(targets_.is_running() && targets_.failing_since())) {
        emptied_.start({feed_.store_era_, feed_.emptied_ ? feed_.emptied_->revision_ : 0},
                       std::nullopt);
    }
}

std::optional<time_point> directory_task::next_emptied_check(time_point now) const
{
    return follows_emptied() ? next_source_check(source_of(emptied_source_, source_, bound()), now)
                             : std::nullopt;
}

void directory_task::on_emptied(const follow_update& update)
{
    const time_point now = loop_.now();
    if (!emptied_.is_listed()) {
        return; // further pages of the list follow
    }
    if (auto list = list_after_update(feed_.emptied_, update, emptied_.revision(), now)) {
        emptied_source_.store_as_of_ = now;
        apply_emptied(std::move(*list), "store");
    }
    check_sources();
}

void directory_task::apply_page_emptied(const feed_page& page, time_point now)
{
    if (!follows_emptied()) {
        return;
    }
    if (auto list = list_after_page(feed_.emptied_, page.emptied_, now)) {
        emptied_source_.peer_as_of_ = std::max(
            emptied_source_.peer_as_of_.value_or(list->confirmed_at_), list->confirmed_at_);
        apply_emptied(std::move(*list), client_.peer_name());
    }
}

void directory_task::apply_emptied(emptied_list list, const std::string& source)
{
    const bool first = !feed_.emptied_;
    const std::vector<std::string> before =
        first ? std::vector<std::string>{} : feed_.emptied_->names_;
    const auto age = http::log_ms(loop_.now() - list.confirmed_at_);
    const std::uint64_t revision = list.revision_;
    if (!update_emptied(feed_, std::move(list))) {
        return;
    }
    const std::vector<std::string>& names = feed_.emptied_->names_;
    if (names != before) {
        telemetry::state_change("data_centres_emptied",
                                {{"data_centres", fmt::format("{}", fmt::join(names, ","))},
                                 {"before", fmt::format("{}", fmt::join(before, ","))},
                                 {"revision", std::to_string(revision)},
                                 {"age_ms", age},
                                 {"source", source}});
    }
    events_.on_emptied_(names);
    server_.answer_readers();
}

} // namespace savoryscale::directory
