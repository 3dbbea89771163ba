#include "directory/emptied.hpp"

#include "directory/feed_page.hpp"
#include "directory/follow.hpp"

#include <algorithm>
#include <chrono>

namespace savoryscale::directory {

namespace {

// Age of a list, as a fraction of the bound, up to which a host relies on its peers for it. The
// rest is for the store's answer to the host itself.
constexpr double age_max_fraction = 0.6;

void set_listed(std::vector<std::string>& names, const std::string& name, bool listed)
{
    const auto at = std::lower_bound(names.begin(), names.end(), name);
    const bool known = at != names.end() && *at == name;
    if (known && !listed) {
        names.erase(at);
    }
    else if (!known && listed && !name.empty() && name.size() <= name_max_bytes) {
        names.insert(at, name);
    }
}

} // namespace

std::optional<emptied_list> list_after_update(const std::optional<emptied_list>& known,
                                              const follow_update& update, std::uint64_t revision,
                                              time_point now)
{
    if (known ? revision < known->revision_ : !update.complete_) {
        return std::nullopt;
    }
    emptied_list list{{}, revision, now};
    if (!update.complete_) {
        list.names_ = known->names_;
    }
    for (const stored_object& changed : update.objects_) {
        set_listed(list.names_, changed.name_, !changed.removed_);
    }
    return list;
}

std::optional<emptied_list> list_after_page(const std::optional<emptied_list>& known,
                                            const std::optional<emptied_data_centres>& named,
                                            time_point now)
{
    if (!named || (known && named->revision_ < known->revision_)) {
        return std::nullopt;
    }
    emptied_list list{named->names_, named->revision_, now - named->age_};
    if (known && known->revision_ == list.revision_) {
        list.confirmed_at_ = std::max(list.confirmed_at_, known->confirmed_at_);
    }
    return list;
}

source_state source_of(const emptied_source& own, const source_state& targets, duration bound)
{
    source_state state = targets;
    state.store_as_of_ = own.store_as_of_;
    state.peer_as_of_ = own.peer_as_of_;
    state.options_.age_max_ = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>{bound} * age_max_fraction);
    return state;
}

} // namespace savoryscale::directory
