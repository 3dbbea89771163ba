#pragma once

// Exchanges of many hosts, connected by a simulated network that drops, delays, duplicates and
// reorders messages. A seed determines its behaviour.

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
    double duplicate_ratio_ = 0;
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

    void publish(std::size_t host, const peer::fact& update)
    {
        send_all(host, peer::publish(hosts_[host], update, now_, random_));
    }

    // Runs the network for `time`, in steps of 10 ms.
    void run(duration time)
    {
        const time_point end = now_ + time;
        while (now_ < end) {
            now_ += std::chrono::milliseconds{10};
            deliver_due();
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                send_all(host, peer::tick(hosts_[host], now_, random_));
            }
        }
    }

    // Messages to and from an isolated host are lost.
    void isolate(std::size_t host) { isolated_.insert(host); }
    void reconnect(std::size_t host) { isolated_.erase(host); }

    std::vector<peer::exchange> hosts_;
    std::vector<std::size_t> sent_bytes_;
    network_faults faults_;
    time_point now_{};
    random_source random_;

private:
    void send_all(std::size_t from, const peer::exchange_actions& actions)
    {
        for (const peer::outgoing_message& each : actions.send_) {
            const std::string bytes = peer::encode(each.message_);
            sent_bytes_[from] += bytes.size();
            peer::charge(hosts_[from], bytes.size());
            const std::size_t to = std::stoul(each.peer_.substr(5));
            const int copies = uniform_unit(random_) < faults_.duplicate_ratio_ ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                schedule(from, to, bytes);
            }
        }
    }

    void schedule(std::size_t from, std::size_t to, const std::string& bytes)
    {
        if (isolated_.count(from) + isolated_.count(to) > 0 ||
            uniform_unit(random_) < faults_.drop_ratio_) {
            return;
        }
        const auto delay = static_cast<std::uint64_t>(faults_.delay_max_.count());
        const duration latency{static_cast<std::int64_t>(uniform_below(random_, delay + 1))};
        in_flight_.emplace(now_ + latency, std::pair{to, bytes});
    }

    void deliver_due()
    {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
            const auto [to, bytes] = in_flight_.begin()->second;
            in_flight_.erase(in_flight_.begin());
            if (isolated_.count(to) > 0) {
                continue;
            }
            const result<peer::message> received = peer::parse_message(bytes);
            send_all(to, peer::receive(hosts_[to], *received, now_, random_));
        }
    }

    std::multimap<time_point, std::pair<std::size_t, std::string>> in_flight_;
    std::set<std::size_t> isolated_;
};

} // namespace savoryscale::tests
