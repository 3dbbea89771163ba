#include "plans/change.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace savoryscale::plans {

namespace {

constexpr std::int64_t ms_per_second = 1000;

constexpr std::string_view pull_again = "pull the lists again, make the edit there, and apply that";

// Digest of the content of an entry; none when the list has no such entry.
using content_digest = std::optional<std::uint64_t>;

// A change to one entry.
struct edit {
    entry_id entry_;
    content_digest base_;
    content_digest wanted_;
};

template<class Entry>
const Entry* find_entry(const std::vector<Entry>& entries, const std::string& name)
{
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), name,
        [](const Entry& each, const std::string& key) { return each.name_ < key; });
    return found != entries.end() && found->name_ == name ? &*found : nullptr;
}

template<class Entry>
content_digest digest_in(const std::vector<Entry>& entries, const std::string& name)
{
    const Entry* const found = find_entry(entries, name);
    return found == nullptr ? content_digest{} : digest(*found);
}

content_digest digest_in(const lists& value, const entry_id& entry)
{
    return entry.list_ == list_kind::customers ? digest_in(value.customers_, entry.name_)
                                               : digest_in(value.plans_, entry.name_);
}

// The entries that differ between the file and its base, sorted.
std::vector<edit> edits_of(const edited_file& file)
{
    std::map<entry_id, edit> by_entry;
    for (const base_entry& each : file.base_) {
        by_entry[each.entry_] = {each.entry_, each.digest_, {}};
    }
    const auto set_wanted = [&by_entry](const entry_id& entry, std::uint64_t wanted) {
        edit& each = by_entry[entry];
        each.entry_ = entry;
        each.wanted_ = wanted;
    };
    for (const customer& each : file.lists_.customers_) {
        set_wanted({list_kind::customers, each.name_}, digest(each));
    }
    for (const plan& each : file.lists_.plans_) {
        set_wanted({list_kind::plans, each.name_}, digest(each));
    }
    std::vector<edit> edits;
    for (const auto& [entry, each] : by_entry) {
        if (each.base_ != each.wanted_) {
            edits.push_back(each);
        }
    }
    return edits;
}

std::uint64_t id_of(std::uint64_t base_version, const std::vector<edit>& edits)
{
    std::string text = std::to_string(base_version);
    for (const edit& each : edits) {
        text += fmt::format("\n{} {}", to_pointer(each.entry_),
                            each.wanted_ ? fmt::format("{:x}", *each.wanted_) : "removed");
    }
    return XXH3_64bits(text.data(), text.size());
}

// When the entry was last set or removed; none when unknown.
std::optional<stamp> last_set(const configuration& stored, const entry_id& entry)
{
    if (entry.list_ == list_kind::customers) {
        if (const customer* found = find_entry(stored.lists_.customers_, entry.name_)) {
            return found->stamp_;
        }
    }
    else if (const plan* found = find_entry(stored.lists_.plans_, entry.name_)) {
        return found->stamp_;
    }
    const auto removed =
        std::find_if(stored.removed_.begin(), stored.removed_.end(),
                     [&entry](const tombstone& each) { return each.entry_ == entry; });
    return removed == stored.removed_.end() ? std::nullopt : std::optional{removed->stamp_};
}

std::string describe_stamp(const stamp& set)
{
    return fmt::format("at version {}, {:%Y-%m-%d %H:%M:%S} UTC", set.version_,
                       fmt::gmtime(static_cast<std::time_t>(set.set_ms_ / ms_per_second)));
}

// The reason that one edit cannot be applied; none when it can.
std::optional<error> refusal(const configuration& stored, const edited_file& file, const edit& each)
{
    const std::string where = to_pointer(each.entry_);
    const std::string remedy{pull_again};
    const auto set = last_set(stored, each.entry_);
    if (set && set->version_ > file.base_version_) {
        return error{error_kind::conflict, where,
                     fmt::format("was set by another change {}, after this file was pulled at "
                                 "version {}",
                                 describe_stamp(*set), file.base_version_),
                     remedy};
    }
    if (!set && file.base_version_ < stored.floor_) {
        return error{error_kind::stale, where,
                     fmt::format("may have been removed since this file was pulled at version {}: "
                                 "removals up to version {} are no longer recorded",
                                 file.base_version_, stored.floor_),
                     remedy};
    }
    if (digest_in(stored.lists_, each.entry_) != each.base_) {
        return error{error_kind::stale, where,
                     "differs from the base in this file, which was pulled from different lists",
                     remedy};
    }
    return std::nullopt;
}

template<class Entry>
void set_entry(std::vector<Entry>& entries, Entry entry)
{
    const auto at = std::lower_bound(
        entries.begin(), entries.end(), entry.name_,
        [](const Entry& each, const std::string& key) { return each.name_ < key; });
    if (at != entries.end() && at->name_ == entry.name_) {
        *at = std::move(entry);
    }
    else {
        entries.insert(at, std::move(entry));
    }
}

template<class Entry>
void erase_entry(std::vector<Entry>& entries, const std::string& name)
{
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&name](const Entry& each) { return each.name_ == name; }),
                  entries.end());
}

// Sets the entry to its content in the file, or removes it when the file does not have it.
template<class Entry>
void replace(std::vector<Entry>& entries, const std::vector<Entry>& wanted, const std::string& name,
             stamp now)
{
    if (const Entry* found = find_entry(wanted, name)) {
        Entry entry = *found;
        entry.stamp_ = now;
        set_entry(entries, std::move(entry));
    }
    else {
        erase_entry(entries, name);
    }
}

void update_tombstones(configuration& next, const edit& each, stamp now)
{
    auto& removed = next.removed_;
    removed.erase(std::remove_if(removed.begin(), removed.end(),
                                 [&each](const tombstone& t) { return t.entry_ == each.entry_; }),
                  removed.end());
    if (!each.wanted_) {
        const tombstone added{each.entry_, now};
        const auto at = std::lower_bound(
            removed.begin(), removed.end(), added,
            [](const tombstone& a, const tombstone& b) { return a.entry_ < b.entry_; });
        removed.insert(at, added);
    }
}

// Drops the oldest tombstones beyond the limit and raises the floor to the newest version dropped.
void drop_old_tombstones(configuration& next)
{
    if (next.removed_.size() <= max_tombstones) {
        return;
    }
    std::vector<std::uint64_t> versions;
    for (const tombstone& each : next.removed_) {
        versions.push_back(each.stamp_.version_);
    }
    const std::size_t surplus = versions.size() - max_tombstones;
    const auto newest_dropped = versions.begin() + static_cast<std::ptrdiff_t>(surplus - 1);
    std::nth_element(versions.begin(), newest_dropped, versions.end());
    next.floor_ = *newest_dropped;
    next.removed_.erase(std::remove_if(next.removed_.begin(), next.removed_.end(),
                                       [&next](const tombstone& each) {
                                           return each.stamp_.version_ <= next.floor_;
                                       }),
                        next.removed_.end());
}

void record_change(configuration& next, std::uint64_t id)
{
    next.recent_.push_back({id, next.lists_.version_});
    if (next.recent_.size() > max_recent_changes) {
        next.recent_.erase(next.recent_.begin());
    }
}

configuration with_edits(const configuration& stored, const edited_file& file,
                         const std::vector<edit>& edits, std::int64_t now_ms)
{
    configuration next = stored;
    const stamp now{stored.lists_.version_ + 1, now_ms};
    next.lists_.version_ = now.version_;
    for (const edit& each : edits) {
        if (each.entry_.list_ == list_kind::customers) {
            replace(next.lists_.customers_, file.lists_.customers_, each.entry_.name_, now);
        }
        else {
            replace(next.lists_.plans_, file.lists_.plans_, each.entry_.name_, now);
        }
        update_tombstones(next, each, now);
    }
    drop_old_tombstones(next);
    return next;
}

// Errors for customers whose plan no longer exists in the merged lists. Each file is consistent by
// itself, so another change has removed the plan or assigned the customer to it.
std::vector<error> dangling_plan_references(const configuration& next, const edited_file& file)
{
    std::vector<error> errors;
    for (const customer& each : next.lists_.customers_) {
        if (find_entry(next.lists_.plans_, each.plan_) != nullptr) {
            continue;
        }
        const entry_id customer_entry{list_kind::customers, each.name_};
        const entry_id plan_entry{list_kind::plans, each.plan_};
        const bool set_by_file = each.stamp_.version_ == next.lists_.version_;
        const auto since = set_by_file ? last_set(next, plan_entry) : std::optional{each.stamp_};
        errors.push_back(
            {error_kind::conflict, to_pointer(set_by_file ? plan_entry : customer_entry),
             fmt::format("{} by another change {}, after this file was pulled at version {}",
                         set_by_file ? "was removed" : "was put on a plan that this file removes",
                         since ? describe_stamp(*since) : "since", file.base_version_),
             std::string{pull_again}});
    }
    return errors;
}

change_result refused(const configuration& stored, std::vector<error> errors, bool rerun)
{
    const bool stale = rerun || std::any_of(errors.begin(), errors.end(), [](const error& each) {
                           return each.kind_ == error_kind::stale;
                       });
    return {stale ? change_outcome::refused_stale : change_outcome::refused_conflict, stored, 0,
            std::move(errors)};
}

} // namespace

std::uint64_t change_id(const edited_file& file)
{
    return id_of(file.base_version_, edits_of(file));
}

bool has_recent_change(const configuration& stored, std::uint64_t id)
{
    return std::any_of(stored.recent_.begin(), stored.recent_.end(),
                       [id](const applied_change& each) { return each.id_ == id; });
}

change_result apply_change(const configuration& stored, const edited_file& file,
                           std::int64_t now_ms)
{
    if (file.base_version_ > stored.lists_.version_) {
        return refused(stored,
                       {{error_kind::stale, "/base/version",
                         fmt::format("is {}, but the lists stored are at version {}",
                                     file.base_version_, stored.lists_.version_),
                         "if the object API was restored from a backup, pull the lists and compare "
                         "them with this file before applying anything"}},
                       false);
    }
    const std::vector<edit> edits = edits_of(file);
    const std::uint64_t id = id_of(file.base_version_, edits);
    std::vector<edit> pending; // edits that are not in force yet
    std::vector<error> errors;
    for (const edit& each : edits) {
        if (digest_in(stored.lists_, each.entry_) == each.wanted_) {
            continue;
        }
        pending.push_back(each);
        if (auto reason = refusal(stored, file, each)) {
            errors.push_back(std::move(*reason));
        }
    }
    if (!errors.empty()) {
        return refused(stored, std::move(errors), has_recent_change(stored, id));
    }
    if (pending.empty()) {
        return {change_outcome::already_in_force, stored, 0, {}};
    }
    configuration next = with_edits(stored, file, pending, now_ms);
    record_change(next, id);
    errors = dangling_plan_references(next, file);
    if (!errors.empty()) {
        return refused(stored, std::move(errors), false);
    }
    if (const std::size_t bytes = print(next).size(); bytes > max_configuration_bytes) {
        return {change_outcome::refused_invalid, stored, 0, {size_error("/", bytes)}};
    }
    return {change_outcome::applied, std::move(next), pending.size(), {}};
}

} // namespace savoryscale::plans
