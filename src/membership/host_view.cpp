#include "membership/host_view.hpp"

#include "peer/wire.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace savoryscale::membership {

namespace {

std::uint64_t hash_of(const std::string& id)
{
    return XXH64(id.data(), id.size(), 0);
}

// Ids of the hosts of a data centre that are not leaving, sorted by hash.
std::vector<std::string> ring_of(const host_view& view, const std::string& data_centre)
{
    std::vector<std::string> ring;
    for (const auto& [id, state] : view.hosts_) {
        if (state.data_centre_ == data_centre && !state.leaving_) {
            ring.push_back(id);
        }
    }
    std::sort(ring.begin(), ring.end(), [](const std::string& left, const std::string& right) {
        return std::tuple{hash_of(left), left} < std::tuple{hash_of(right), right};
    });
    return ring;
}

std::size_t position_in(const std::vector<std::string>& ring, const std::string& id)
{
    return static_cast<std::size_t>(std::find(ring.begin(), ring.end(), id) - ring.begin());
}

void add_link(const host_view& view, const std::string& id, std::vector<peer::peer_address>& links)
{
    const peer::host_state& state = view.hosts_.at(id);
    const peer::peer_address link{state.address_, state.public_key_};
    if (id != view.self_ && std::find(links.begin(), links.end(), link) == links.end()) {
        links.push_back(link);
    }
}

// Links to the hosts 1, 2, 4, 8... positions ahead: any two hosts are at most log2(n) links apart.
void add_local_links(const host_view& view, const std::vector<std::string>& ring,
                     std::vector<peer::peer_address>& links)
{
    const std::size_t position = position_in(ring, view.self_);
    for (std::size_t step = 1; step < ring.size(); step *= 2) {
        add_link(view, ring[(position + step) % ring.size()], links);
    }
}

// Data centres by region, each sorted by name.
std::map<std::string, std::vector<std::string>> data_centres_of(const host_view& view)
{
    std::map<std::string, std::vector<std::string>> regions;
    for (const auto& [id, state] : view.hosts_) {
        std::vector<std::string>& names = regions[state.region_];
        if (std::find(names.begin(), names.end(), state.data_centre_) == names.end()) {
            names.push_back(state.data_centre_);
        }
    }
    for (auto& [region, names] : regions) {
        std::sort(names.begin(), names.end());
    }
    return regions;
}

void add_remote_links(const host_view& view, std::size_t position,
                      std::vector<peer::peer_address>& links)
{
    const peer::host_state& self = view.hosts_.at(view.self_);
    for (const auto& [region, names] : data_centres_of(view)) {
        for (const std::string& name : names) {
            const bool same_region = region == self.region_;
            // Another region is reached through one of its data centres, chosen by the bridge's
            // position in its ring.
            const bool chosen =
                same_region ? name != self.data_centre_ : name == names[position % names.size()];
            const std::vector<std::string> ring = ring_of(view, name);
            if (chosen && !ring.empty()) {
                add_link(view, ring[position % ring.size()], links);
            }
        }
    }
}

} // namespace

bool on_host_fact(host_view& view, const peer::fact& host_fact)
{
    const result<peer::host_state> state = peer::parse_host_state(host_fact.payload_);
    if (!state) {
        return false;
    }
    view.hosts_[host_fact.subject_] = *state;
    return true;
}

void on_host_expired(host_view& view, const peer::fact& host_fact)
{
    if (host_fact.subject_ != view.self_) {
        view.hosts_.erase(host_fact.subject_);
    }
}

bool is_watch_contender(const host_view& view)
{
    const auto self = view.hosts_.find(view.self_);
    if (self == view.hosts_.end() || self->second.leaving_) {
        return false;
    }
    std::vector<std::string> order = ring_of(view, self->second.data_centre_);
    std::stable_sort(order.begin(), order.end(),
                     [&](const std::string& left, const std::string& right) {
                         const peer::host_state& a = view.hosts_.at(left);
                         const peer::host_state& b = view.hosts_.at(right);
                         return std::tuple{!a.watching_, a.store_lost_} <
                                std::tuple{!b.watching_, b.store_lost_};
                     });
    return position_in(order, view.self_) < watchers_per_data_centre + standbys_per_data_centre;
}

std::vector<peer::peer_address> choose_links(const host_view& view)
{
    std::vector<peer::peer_address> links;
    const auto self = view.hosts_.find(view.self_);
    if (self == view.hosts_.end()) {
        return links;
    }
    const std::vector<std::string> ring = ring_of(view, self->second.data_centre_);
    add_local_links(view, ring, links);
    const std::size_t position = position_in(ring, view.self_);
    if (position < bridges_per_data_centre) {
        add_remote_links(view, position, links);
    }
    return links;
}

} // namespace savoryscale::membership
