#include "directory/feed.hpp"

#include "directory/registry.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

// Removed targets are kept for readers, up to this many. Beyond that a new epoch begins, and each
// reader gets the complete list again.
constexpr std::size_t gone_targets_max = 1024;

void drop_gone_targets(feed& known)
{
    std::erase_if(known.items_, [](const auto& item) { return item.second.gone_; });
    known.gone_count_ = 0;
    ++known.epoch_;
}

// In seconds, rounded up.
std::uint32_t lifetime_left(const feed_suspicion& suspicion, time_point now)
{
    const duration left =
        suspicion.updated_at_ - now + duration{std::chrono::seconds{suspicion.fact_.lifetime_s_}};
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::seconds>(left).count()));
}

} // namespace

bool update_targets(feed& known, const registry& all, time_point now)
{
    const std::uint64_t before = known.sequence_;
    const auto is_listed = [&all](const std::string& id) {
        const auto entry = all.entries_.find(id);
        return entry != all.entries_.end() && !entry->second.missing_since_;
    };
    for (auto& [id, item] : known.items_) {
        if (!item.gone_ && !is_listed(id)) {
            item.gone_ = true;
            item.sequence_ = ++known.sequence_;
            ++known.gone_count_;
        }
    }
    for (const auto& [id, entry] : all.entries_) {
        if (entry.missing_since_) {
            continue;
        }
        feed_item& item = known.items_[id];
        const bool same = item.sequence_ > 0 && !item.gone_ && item.entry_ == entry.entry_ &&
                          item.incarnation_ == entry.incarnation_;
        if (same) {
            continue;
        }
        known.gone_count_ -= item.gone_ ? 1 : 0;
        item = {entry.entry_, entry.incarnation_, ++known.sequence_, now, false};
    }
    if (known.gone_count_ > gone_targets_max) {
        drop_gone_targets(known);
    }
    return known.sequence_ != before;
}

void update_suspicion(feed& known, const peer::fact& suspicion, time_point now)
{
    auto& all = known.suspicions_;
    std::erase_if(all, [now](const auto& item) { return lifetime_left(item.second, now) == 0; });
    if (all.size() >= feed_suspicions_max && all.find(suspicion.subject_) == all.end()) {
        all.erase(std::min_element(all.begin(), all.end(), [](const auto& one, const auto& other) {
            return one.second.sequence_ < other.second.sequence_;
        }));
    }
    all[suspicion.subject_] = {suspicion, ++known.sequence_, now};
}

bool update_emptied(feed& known, emptied_list list)
{
    const bool changed = !known.emptied_ || known.emptied_->names_ != list.names_;
    known.emptied_ = std::move(list);
    known.sequence_ += changed ? 1 : 0;
    return changed;
}

void set_store_era(feed& known, std::uint64_t era)
{
    known.store_era_ = era;
    known.targets_revision_ = 0;
    known.configuration_revision_ = 0;
    if (known.emptied_) {
        known.emptied_->revision_ = 0;
    }
}

void update_desired_state(feed& known, std::uint64_t version, std::string document)
{
    known.version_ = version;
    known.document_ = std::move(document);
}

bool has_updates(const feed& known, const feed_position& reader)
{
    return reader.epoch_ != known.epoch_ || reader.sequence_ < known.sequence_ ||
           reader.version_ < known.version_;
}

feed_page make_page(const feed& known, const feed_position& reader, time_point as_of,
                    time_point now)
{
    feed_page page;
    page.epoch_ = known.epoch_;
    page.sequence_ = known.sequence_;
    page.complete_ = reader.epoch_ != known.epoch_;
    page.age_ = now - as_of;
    if (known.contact_) {
        page.contact_ = {now - known.contact_->begun_, now - known.contact_->confirmed_at_};
    }
    page.store_era_ = known.store_era_;
    page.targets_revision_ = known.targets_revision_;
    page.configuration_revision_ = known.configuration_revision_;
    page.version_ = known.version_;
    if (reader.version_ < known.version_) {
        page.document_ = known.document_;
    }
    if (const auto& emptied = known.emptied_) {
        page.emptied_ = {emptied->names_, now - emptied->confirmed_at_, emptied->revision_};
    }
    std::vector<const feed_item*> chosen;
    for (const auto& [id, item] : known.items_) {
        if (page.complete_ ? !item.gone_ : item.sequence_ > reader.sequence_) {
            chosen.push_back(&item);
        }
    }
    // Of two targets at one address the reader keeps the one that it receives last.
    std::sort(chosen.begin(), chosen.end(), [](const auto* one, const auto* other) {
        return one->incarnation_ < other->incarnation_;
    });
    for (const feed_item* item : chosen) {
        feed_target target{item->entry_, item->gone_};
        target.entry_.warm_up_ =
            std::max(duration::zero(), item->entry_.warm_up_ - (now - item->updated_at_));
        page.targets_.push_back(std::move(target));
    }
    for (const auto& [subject, suspicion] : known.suspicions_) {
        const std::uint32_t left = lifetime_left(suspicion, now);
        if (left > 0 && (page.complete_ || suspicion.sequence_ > reader.sequence_)) {
            page.suspicions_.push_back(suspicion.fact_);
            page.suspicions_.back().lifetime_s_ = left;
        }
    }
    return page;
}

} // namespace savoryscale::directory
