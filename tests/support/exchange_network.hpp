#pragma once

// Exchanges of many hosts joined by a seeded fake network that drops, delays, repeats and reorders.

#include "peer/exchange.hpp"
#include "peer/wire.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryscale::tests {

struct network_faults {
    double drop_ratio_ = 0;
    double repeat_ratio_ = 0;
    duration delay_max_ = std::chrono::milliseconds{2};
};

class exchange_network {
public:
    exchange_network(std::size_t hosts, std::uint64_t seed) : random_{seed}
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            peer::exchange_settings settings;
            settings.host_id_ = name(i);
            hosts_.push_back(peer::make_exchange(settings, now_, random_));
        }
        sent_bytes_.resize(hosts);
    }

    static std::string name(std::size_t host) { return "host-" + std::to_string(host); }

    void link(std::size_t left, std::size_t right, bool remote = false)
    {
        peer::link_peer(hosts_[left], name(right), remote);
        peer::link_peer(hosts_[right], name(left), remote);
    }

    void link_all()
    {
        for (std::size_t left = 0; left < hosts_.size(); ++left) {
            for (std::size_t right = 0; right < left; ++right) {
                link(left, right);
            }
        }
    }

    void tell(std::size_t host, const peer::fact& news)
    {
        carry(host, peer::tell(hosts_[host], news, now_, random_));
    }

    // Runs the network for a time, in steps of 10 ms.
    void run(duration time)
    {
        const time_point end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds{10};
            deliver_due();
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                carry(host, peer::tick(hosts_[host], now_, random_));
            }
        }
    }

    // Messages of a cut host are lost in both directions.
    void cut(std::size_t host) { cut_.insert(host); }
    void heal(std::size_t host) { cut_.erase(host); }

    std::vector<peer::exchange> hosts_;
    std::vector<std::size_t> sent_bytes_;
    network_faults faults_;
    time_point now_{};
    random_source random_;

private:
    void carry(std::size_t from, const peer::exchange_actions& actions)
    {
        for (const peer::outgoing& each : actions.send_) {
            const std::string bytes = peer::encode(each.message_);
            sent_bytes_[from] += bytes.size();
            peer::charge(hosts_[from], bytes.size());
            const std::size_t to = std::stoul(each.peer_.substr(5));
            const int copies = uniform_unit(random_) < faults_.repeat_ratio_ ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                schedule(from, to, bytes);
            }
        }
    }

    void schedule(std::size_t from, std::size_t to, const std::string& bytes)
    {
        if (cut_.count(from) + cut_.count(to) > 0 || uniform_unit(random_) < faults_.drop_ratio_) {
            return;
        }
        const auto delay = static_cast<std::uint64_t>(faults_.delay_max_.count());
        const duration late{static_cast<std::int64_t>(uniform_below(random_, delay + 1))};
        flying_.emplace(now_ + late, std::pair{to, bytes});
    }

    void deliver_due()
    {
        while (!flying_.empty() && flying_.begin()->first <= now_) {
            const auto [to, bytes] = flying_.begin()->second;
            flying_.erase(flying_.begin());
            if (cut_.count(to) > 0) {
                continue;
            }
            const result<peer::message> heard = peer::parse_message(bytes);
            carry(to, peer::receive(hosts_[to], *heard, now_, random_));
        }
    }

    std::multimap<time_point, std::pair<std::size_t, std::string>> flying_;
    std::set<std::size_t> cut_;
};

} // namespace savoryscale::tests
