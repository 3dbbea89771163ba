#include "directory/registry.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace savoryscale::directory {

namespace {

using entry_map = std::map<std::string, known_entry, std::less<>>;

bool is_same_server(const target_entry& one, const target_entry& other)
{
    return one.address_ == other.address_ && one.service_ == other.service_ &&
           one.born_ms_ == other.born_ms_;
}

entry_map::iterator erase_entry(registry& all, entry_map::iterator position)
{
    all.changed_services_.insert(position->second.entry_.service_);
    all.pending_events_.push_back({position->second.entry_, target_change::gone});
    return all.entries_.erase(position);
}

bool is_in_recovery_grace(const registry& all, time_point now)
{
    return all.store_recovered_at_ && now - *all.store_recovered_at_ < recovery_grace;
}

// Erases the entry, or only marks it as missing while live targets may still register again.
entry_map::iterator remove_or_mark_missing(registry& all, entry_map::iterator position,
                                           time_point now)
{
    if (!is_in_recovery_grace(all, now) || position->second.entry_.leaving_) {
        return erase_entry(all, position);
    }
    if (!position->second.missing_since_) {
        position->second.missing_since_ = *all.store_recovered_at_;
        all.pending_events_.push_back({position->second.entry_, target_change::missing});
    }
    return std::next(position);
}

using address_key = std::pair<std::string_view, std::uint16_t>;

address_key key_of(const settings::endpoint& address)
{
    return {address.ip_, address.port_};
}

bool is_named(const registry& all, const std::string& service)
{
    return !all.named_services_ || all.named_services_->count(service) > 0;
}

// The latest incarnation at each address across the named services; it has replaced the earlier
// ones.
std::map<address_key, std::uint64_t> latest_incarnations(const registry& all)
{
    std::map<address_key, std::uint64_t> latest;
    for (const auto& [id, known] : all.entries_) {
        if (!is_named(all, known.entry_.service_)) {
            continue;
        }
        std::uint64_t& incarnation = latest[key_of(known.entry_.address_)];
        incarnation = std::max(incarnation, known.incarnation_);
    }
    return latest;
}

} // namespace

void on_list(registry& all, std::span<const target_entry> listed, time_point now)
{
    std::set<std::string_view> ids;
    for (const target_entry& entry : listed) {
        ids.insert(entry.id_);
        on_entry(all, entry);
    }
    for (auto at = all.entries_.begin(); at != all.entries_.end();) {
        at = ids.count(at->first) > 0 ? std::next(at) : remove_or_mark_missing(all, at, now);
    }
}

void on_services_named(registry& all, std::set<std::string, std::less<>> services)
{
    all.named_services_ = std::move(services);
    for (const auto& [id, known] : all.entries_) {
        all.changed_services_.insert(known.entry_.service_);
    }
}

void on_entry(registry& all, const target_entry& entry)
{
    const auto [at, added] = all.entries_.try_emplace(entry.id_);
    known_entry& known = at->second;
    if (!added && known.entry_ == entry && !known.missing_since_) {
        return;
    }
    const bool is_new = added || !is_same_server(known.entry_, entry);
    if (is_new) {
        all.pending_events_.push_back({entry, target_change::joined});
    }
    if (entry.leaving_ && (is_new || !known.entry_.leaving_)) {
        all.pending_events_.push_back({entry, target_change::leaving});
    }
    if (is_new) {
        known.incarnation_ = ++all.last_incarnation_;
        all.changed_services_.insert(known.entry_.service_);
    }
    known.entry_ = entry;
    known.missing_since_.reset();
    all.changed_services_.insert(entry.service_);
}

void on_removed(registry& all, std::string_view id, time_point now)
{
    const auto found = all.entries_.find(id);
    if (found != all.entries_.end()) {
        remove_or_mark_missing(all, found, now);
    }
}

void on_store_recovered(registry& all, time_point now)
{
    all.store_recovered_at_ = now;
}

void on_outage_disproved(registry& all)
{
    all.store_recovered_at_.reset();
    for (auto at = all.entries_.begin(); at != all.entries_.end();) {
        at = at->second.missing_since_ ? erase_entry(all, at) : std::next(at);
    }
}

bool has_missing(const registry& all)
{
    return std::any_of(all.entries_.begin(), all.entries_.end(),
                       [](const auto& item) { return item.second.missing_since_.has_value(); });
}

std::optional<time_point> expire(registry& all, time_point now)
{
    std::optional<time_point> next;
    for (auto at = all.entries_.begin(); at != all.entries_.end();) {
        const auto& missing = at->second.missing_since_;
        if (missing && now - *missing >= recovery_grace) {
            at = erase_entry(all, at);
            continue;
        }
        if (missing) {
            next = std::min(next.value_or(time_point::max()), *missing + recovery_grace);
        }
        ++at;
    }
    return next;
}

std::vector<routing::target_info> targets_of(const registry& all, std::string_view service)
{
    std::vector<routing::target_info> targets;
    const auto latest = latest_incarnations(all);
    for (const auto& [id, known] : all.entries_) {
        const target_entry& entry = known.entry_;
        if (entry.service_ != service) {
            continue;
        }
        const auto at_address = latest.find(key_of(entry.address_));
        if (at_address != latest.end() && at_address->second > known.incarnation_) {
            continue;
        }
        routing::target_info info;
        info.address_ = entry.address_;
        info.data_centre_ = entry.data_centre_;
        info.leaving_ = entry.leaving_;
        info.incarnation_ = known.incarnation_;
        info.id_ = id;
        info.born_ms_ = entry.born_ms_;
        info.slots_ = entry.slots_;
        info.warm_up_ = entry.warm_up_;
        targets.push_back(std::move(info));
    }
    return targets;
}

} // namespace savoryscale::directory
