#include "store/status_view.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace savoryscale::store {

namespace {

constexpr std::int64_t ms_per_second = 1000;

// The newest report on one host, and the record that contains it; null if there is none.
struct report {
    const status_record* record_ = nullptr;
    const host_version_report* held_ = nullptr;
};

// Returns the newest report on the host. A host that moved may appear in two records.
report find_report(const std::vector<status_record>& records, const std::string& id)
{
    report newest;
    for (const status_record& record : records) {
        for (const host_version_report& held : record.hosts_) {
            const bool newer =
                newest.record_ == nullptr || record.written_ms_ > newest.record_->written_ms_;
            if (held.id_ == id && newer) {
                newest = {&record, &held};
            }
        }
    }
    return newest;
}

// A record with a time in the future is as unreliable as an old one: one of the clocks is wrong.
bool is_fresh(const status_record& record, std::int64_t now_ms)
{
    return std::abs(now_ms - record.written_ms_) <= status_stale_after.count();
}

std::string behind_reason(std::uint64_t accepted, const report& found, std::int64_t now_ms)
{
    if (found.record_ == nullptr) {
        return "no report names it";
    }
    if (!is_fresh(*found.record_, now_ms)) {
        return fmt::format("its report by {} is {} s old", found.record_->reporter_,
                           (now_ms - found.record_->written_ms_) / ms_per_second);
    }
    if (found.held_->held_version_ > accepted) {
        return "holds a newer version than the object API shows";
    }
    if (found.held_->held_version_ < accepted) {
        return found.held_->behind_reason_.empty() ? "has not taken the accepted version yet"
                                                   : found.held_->behind_reason_;
    }
    return {};
}

host_version_status make_host_version_status(std::uint64_t accepted, std::string id,
                                             std::string data_centre,
                                             const std::vector<status_record>& records,
                                             std::int64_t now_ms)
{
    const report found = find_report(records, id);
    const std::uint64_t held = found.held_ == nullptr ? 0 : found.held_->held_version_;
    return {std::move(id), std::move(data_centre), held, behind_reason(accepted, found, now_ms)};
}

} // namespace

status_view make_status_view(std::uint64_t accepted_version, const std::vector<listed_host>& hosts,
                             const std::vector<status_record>& records, std::int64_t now_ms)
{
    status_view view{accepted_version, false, {}};
    std::vector<std::string> listed;
    for (const listed_host& host : hosts) {
        if (host.kind_ != host_kind::entry) {
            continue;
        }
        listed.push_back(host.id_);
        if (!host.leaving_) {
            view.hosts_.push_back(make_host_version_status(accepted_version, host.id_,
                                                           host.data_centre_, records, now_ms));
        }
    }
    const bool any_listed = !view.hosts_.empty();
    for (const status_record& record : records) {
        for (const host_version_report& held : record.hosts_) {
            const bool known = std::find(listed.begin(), listed.end(), held.id_) != listed.end();
            if (!known && is_fresh(record, now_ms)) {
                listed.push_back(held.id_);
                view.hosts_.push_back(make_host_version_status(
                    accepted_version, held.id_, record.data_centre_, records, now_ms));
            }
        }
    }
    std::sort(view.hosts_.begin(), view.hosts_.end(),
              [](const host_version_status& a, const host_version_status& b) {
                  return std::tie(a.data_centre_, a.id_) < std::tie(b.data_centre_, b.id_);
              });
    const bool none_behind =
        std::all_of(view.hosts_.begin(), view.hosts_.end(),
                    [](const host_version_status& each) { return each.behind_reason_.empty(); });
    view.all_hold_ = accepted_version != 0 && any_listed && none_behind;
    return view;
}

} // namespace savoryscale::store
