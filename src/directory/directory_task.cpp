#include "directory/directory_task.hpp"

#include "directory/dialect.hpp"
#include "http/event_loop.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

using namespace std::chrono_literals;

// Connections to the store: one for each kind that is followed, and one to replace a silent one.
constexpr std::size_t connections_max = 4;

// Of the time within which a leaving target must be known, the part that passes between two calls.
// The rest is for the call itself, and for requests that were placed just before.
constexpr double pause_part = 0.8;

// An outage shorter than this lets no entry lapse.
constexpr duration outage_min = 1s;

follow_options target_options(const settings::directory& config)
{
    follow_options options;
    options.first_list_stale_ = true;
    options.pause_ = std::chrono::duration_cast<duration>(config.drain_ * pause_part);
    return options;
}

} // namespace

directory_task::directory_task(http::event_loop& loop, const settings::directory& config,
                               const dialect& spoken, std::uint64_t seed, directory_events events)
    : loop_{loop},
      dialect_{spoken},
      random_{seed},
      events_{std::move(events)},
      pool_{loop, config.store_, false, connections_max},
      configuration_{
          loop,
          pool_,
          spoken,
          spoken.configuration_kind_,
          {},
          random_,
          {[this](const follow_news& news) { on_configuration(news); }, events_.on_store_call_}},
      targets_{loop,
               pool_,
               spoken,
               spoken.targets_kind_,
               target_options(config),
               random_,
               {[this](const follow_news& news) { on_targets(news); }, events_.on_store_call_}}
{
    pool_.keep_alive();
}

directory_task::~directory_task()
{
    loop_.cancel(missing_timer_);
}

void directory_task::start()
{
    configuration_.start();
    targets_.start();
}

void directory_task::on_configuration(const follow_news& news)
{
    for (const stored_object& changed : news.objects_) {
        if (changed.name_ != dialect_.configuration_name_ || changed.removed_) {
            continue;
        }
        auto state = dialect_.read_desired_state_(changed.value_);
        if (!state) {
            telemetry::state_change("desired_state_refused", {{"why", to_string(state.error())}},
                                    telemetry::severity::error);
            continue;
        }
        if (state->version_ <= version_) {
            continue;
        }
        telemetry::state_change("desired_state_applied",
                                {{"version", std::to_string(state->version_)},
                                 {"before", std::to_string(version_)},
                                 {"at_revision", std::to_string(changed.revision_)},
                                 {"routes", std::to_string(state->routes_.size())}});
        version_ = state->version_;
        events_.on_desired_state_(std::move(*state));
        tell_all();
    }
}

void directory_task::on_targets(const follow_news& news)
{
    const time_point now = loop_.now();
    if (news.returned_after_ && *news.returned_after_ >= outage_min) {
        on_store_returned(registry_, now);
    }
    if (news.whole_) {
        targets_listed_ = true;
        std::vector<stored_object> oldest_first = news.objects_;
        std::sort(oldest_first.begin(), oldest_first.end(),
                  [](const auto& one, const auto& two) { return one.created_ < two.created_; });
        std::vector<target_entry> listed;
        for (const stored_object& object : oldest_first) {
            if (auto entry = dialect_.read_target_(object.name_, object.value_)) {
                listed.push_back(std::move(*entry));
            }
        }
        on_list(registry_, listed, now);
    }
    else {
        for (const stored_object& changed : news.objects_) {
            take_entry(changed, now);
        }
    }
    tell_changed();
    watch_missing();
}

void directory_task::take_entry(const stored_object& changed, time_point now)
{
    if (changed.removed_) {
        on_removed(registry_, changed.name_, now);
        return;
    }
    if (const auto entry = dialect_.read_target_(changed.name_, changed.value_)) {
        on_entry(registry_, *entry);
        return;
    }
    else if (unreadable_.insert(changed.name_).second) {
        telemetry::state_change("target_entry_refused",
                                {{"id", changed.name_}, {"why", to_string(entry.error())}},
                                telemetry::severity::warning);
    }
    on_removed(registry_, changed.name_, now);
}

void directory_task::tell_changed()
{
    constexpr std::array<std::string_view, 3> changes{"joined", "leaving", "gone"};
    for (const target_news& news : std::exchange(registry_.news_, {})) {
        const settings::endpoint& address = news.entry_.address_;
        telemetry::state_change(
            "target_changed",
            {{"service", news.entry_.service_},
             {"target", fmt::format("{}:{}", address.ip_, address.port_)},
             {"instance", news.entry_.id_},
             {"change", std::string{changes[static_cast<std::size_t>(news.change_)]}}});
    }
    for (const std::string& service : std::exchange(registry_.changed_, {})) {
        auto targets = targets_of(registry_, service);
        const auto leaving = std::count_if(targets.begin(), targets.end(),
                                           [](const auto& info) { return info.leaving_; });
        telemetry::state_change("targets_changed", {{"service", service},
                                                    {"targets", std::to_string(targets.size())},
                                                    {"leaving", std::to_string(leaving)}});
        events_.on_targets_(service, std::move(targets));
    }
}

// A new desired state may name services whose targets were told before anybody knew the service.
void directory_task::tell_all()
{
    for (const auto& [id, known] : registry_.entries_) {
        registry_.changed_.insert(known.entry_.service_);
    }
    tell_changed();
}

void directory_task::watch_missing()
{
    loop_.cancel(std::exchange(missing_timer_, 0));
    const auto next = expire(registry_, loop_.now());
    tell_changed();
    if (next) {
        missing_timer_ = loop_.at(*next, [this] {
            missing_timer_ = 0;
            watch_missing();
        });
    }
}

} // namespace savoryscale::directory
