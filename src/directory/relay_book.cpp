#include "directory/relay_book.hpp"

#include <algorithm>

namespace savoryscale::directory {

bool is_current(const relay_book& book, time_point now)
{
    return book.learned_at_ != time_point{} && now - book.learned_at_ < relay_book_lifetime;
}

void on_hosts_learned(relay_book& book, std::span<const announced_host> hosts,
                      const settings::endpoint& own, time_point now)
{
    book.hosts_.clear();
    for (const announced_host& host : hosts) {
        if (host.relay_ != own) {
            book.hosts_[to_string(host.relay_)] = host;
        }
    }
    std::erase_if(book.excluded_until_, [now](const auto& one) { return one.second <= now; });
    book.learned_at_ = now;
}

void on_relay_failed(relay_book& book, const settings::endpoint& relay, time_point now)
{
    book.excluded_until_[to_string(relay)] = now + relay_exclusion;
}

std::optional<settings::endpoint> choose_relay(const relay_book& book, const relay_need& need,
                                               std::string_view data_centre,
                                               std::span<const settings::endpoint> tried,
                                               time_point now, random_source& random)
{
    std::vector<const announced_host*> near;
    std::vector<const announced_host*> far;
    for (const auto& [address, host] : book.hosts_) {
        const auto excluded = book.excluded_until_.find(address);
        const bool usable = (excluded == book.excluded_until_.end() || excluded->second <= now) &&
                            std::find(tried.begin(), tried.end(), host.relay_) == tried.end() &&
                            host.formats_ >= need.formats_ &&
                            std::find(host.unreached_.begin(), host.unreached_.end(),
                                      need.service_) == host.unreached_.end();
        if (usable) {
            (host.data_centre_ == data_centre ? near : far).push_back(&host);
        }
    }
    const auto& choice = near.empty() ? far : near;
    return choice.empty() ? std::nullopt
                          : std::optional{choice[uniform_below(random, choice.size())]->relay_};
}

} // namespace savoryscale::directory
