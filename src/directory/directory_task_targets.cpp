// The part of the directory task that keeps the registry of targets and publishes its changes.

#include "directory/dialect.hpp"
#include "directory/directory_task.hpp"
#include "http/event_loop.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace savoryscale::directory {

// What an overtaken answer lacks comes with the next one; applied, it would undo newer changes
// until then.
void directory_task::apply_target_update(const follow_update& update, time_point now)
{
    if (is_overtaken(targets_.answered(), told_)) {
        telemetry::state_change("store_answer_overtaken",
                                {{"revision", std::to_string(targets_.revision())},
                                 {"told", std::to_string(told_.revision_)}});
        return;
    }
    if (update.complete_) {
        apply_target_list(update.objects_, now);
        return;
    }
    for (const stored_object& changed : update.objects_) {
        apply_target_entry(changed, now);
    }
}

void directory_task::apply_target_list(const std::vector<stored_object>& objects, time_point now)
{
    targets_listed_ = true;
    std::vector<stored_object> oldest_first = objects;
    std::sort(oldest_first.begin(), oldest_first.end(),
              [](const auto& one, const auto& two) { return one.created_ < two.created_; });
    std::vector<target_entry> listed;
    for (const stored_object& object : oldest_first) {
        if (auto entry = dialect_.read_target_(object.name_, object.value_)) {
            listed.push_back(std::move(*entry));
        }
        else {
            log_rejected_entry(object.name_, entry.error());
        }
    }
    on_list(registry_, listed, now);
}

void directory_task::apply_target_entry(const stored_object& changed, time_point now)
{
    if (changed.removed_) {
        on_removed(registry_, changed.name_, now);
        return;
    }
    if (const auto entry = dialect_.read_target_(changed.name_, changed.value_)) {
        on_entry(registry_, *entry);
        return;
    }
    else {
        log_rejected_entry(changed.name_, entry.error());
    }
    on_removed(registry_, changed.name_, now);
}

void directory_task::log_rejected_entry(const std::string& id, const error& reason)
{
    // Names that share so long a beginning count as one.
    const std::string shown = id.substr(0, name_max_bytes);
    if (logged_rejections_.insert(shown).second) {
        telemetry::state_change("target_entry_refused", {{"id", shown}, {"why", to_string(reason)}},
                                telemetry::severity::warning);
    }
}

void directory_task::publish_target_changes()
{
    constexpr std::array<std::string_view, 4> changes{"joined", "leaving", "missing", "gone"};
    for (const target_event& event : std::exchange(registry_.pending_events_, {})) {
        const settings::endpoint& address = event.entry_.address_;
        telemetry::state_change(
            "target_changed",
            {{"service", event.entry_.service_},
             {"target", to_string(address)},
             {"instance", event.entry_.id_},
             {"change", std::string{changes[static_cast<std::size_t>(event.change_)]}}});
    }
    for (const std::string& service : std::exchange(registry_.changed_services_, {})) {
        auto targets = targets_of(registry_, service);
        const auto leaving = std::count_if(targets.begin(), targets.end(),
                                           [](const auto& info) { return info.leaving_; });
        telemetry::state_change("targets_changed", {{"service", service},
                                                    {"targets", std::to_string(targets.size())},
                                                    {"leaving", std::to_string(leaving)}});
        events_.on_targets_(service, std::move(targets));
    }
    if (update_targets(feed_, registry_, loop_.now())) {
        server_.answer_readers();
    }
}

void directory_task::expire_missing_targets()
{
    loop_.cancel(std::exchange(expiry_timer_, 0));
    const auto next = expire(registry_, loop_.now());
    publish_target_changes();
    if (next) {
        expiry_timer_ = loop_.at(*next, [this] {
            expiry_timer_ = 0;
            expire_missing_targets();
            check_sources();
        });
    }
}

} // namespace savoryscale::directory
