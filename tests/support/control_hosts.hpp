#pragma once

// Control planes of entry hosts on loopback, with a fake object API and host list.

#include "membership/control_task.hpp"
#include "plans/configuration.hpp"
#include "support/fake_platform.hpp"

#include <zmq.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace savoryscale::tests {

using namespace membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr control_timing quick{milliseconds{300},  milliseconds{1000}, milliseconds{100},
                                      milliseconds{100},  milliseconds{500},  milliseconds{1500},
                                      milliseconds{300},  milliseconds{300},  milliseconds{300},
                                      milliseconds{2000}, milliseconds{400}};

inline const settings::endpoint target_address{"10.0.0.9", 80};

inline std::string configuration_text(std::uint64_t version)
{
    plans::configuration value;
    value.lists_.version_ = version;
    return plans::print(value);
}

inline settings::settings host_settings(const std::string& id,
                                        std::vector<settings::endpoint> seeds)
{
    static const auto keys = [] {
        std::array<std::array<char, 41>, 2> made{};
        zmq_curve_keypair(made[0].data(), made[1].data());
        return made;
    }();
    settings::settings made;
    made.host_ = {id, "mobile", "gulf-south", 24};
    made.peer_ = settings::peer_exchange{
        {"127.0.0.1", 0}, keys[0].data(), keys[1].data(), {}, std::move(seeds)};
    settings::service photo;
    photo.name_ = "photo";
    photo.targets_ = {{target_address, "mobile"}};
    made.services_ = {photo};
    return made;
}

// One control plane, and the state it last reported through its callbacks.
struct entry_host {
    entry_host(fake_store& store, const settings::settings& settings, bool store_down = false,
               const control_timing& timing = quick)
        : client_{store}, task_{settings, client_, client_, callbacks(), timing}
    {
        client_.down_ = store_down;
        CHECK(task_.start().has_value());
    }

    control_callbacks callbacks()
    {
        control_callbacks made;
        made.on_lists_ = [this](const plans::lists& lists) {
            version_decreased_ = version_decreased_ || lists.version_ < version_;
            version_ = lists.version_;
        };
        made.on_targets_ = [this](const std::string& service,
                                  const std::vector<routing::target_info>& targets) {
            const std::lock_guard lock{mutex_};
            targets_[service] = targets;
        };
        made.on_suspicion_ = [this](const peer::fact&) { ++suspicions_; };
        made.on_ready_ = [this](bool ready) { ready_ = ready; };
        made.on_share_ = [this](const share_limit& limit) {
            const std::lock_guard lock{mutex_};
            shares_[limit.resource_] = limit.amount_;
        };
        return made;
    }

    bool is_target_leaving()
    {
        const std::lock_guard lock{mutex_};
        const auto& photo = targets_["photo"];
        return photo.size() == 1 && photo.front().leaving_;
    }

    std::uint64_t share(const std::string& resource)
    {
        const std::lock_guard lock{mutex_};
        return shares_[resource];
    }

    bool holds_lease() const { return task_.counters().watching_ == 1; }

    std::atomic<std::uint64_t> version_{0};
    std::atomic<bool> version_decreased_{false};
    std::atomic<bool> ready_{false};
    std::atomic<int> suspicions_{0};
    std::mutex mutex_;
    std::map<std::string, std::vector<routing::target_info>> targets_;
    std::map<std::string, std::uint64_t> shares_;
    fake_client client_;
    control_task task_;
};

// Waits up to 20 s for a condition; returns whether it became true.
template<class Condition>
bool eventually(Condition&& condition)
{
    for (int i = 0; i < 1000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
}

// Hosts that share one object API; the first is the seed of the others.
struct control_hosts : Utest {
    fake_store store_;
    std::vector<std::unique_ptr<entry_host>> hosts_;

    void setup() override { write(1); }

    void teardown() override
    {
        for (const auto& host : hosts_) {
            CHECK_FALSE(host->version_decreased_);
        }
    }

    void write(std::uint64_t version)
    {
        store_.put(std::string{plans::configuration_key}, configuration_text(version));
    }

    entry_host& add(bool store_down = false)
    {
        std::vector<settings::endpoint> seeds;
        if (!hosts_.empty()) {
            seeds.push_back(hosts_.front()->task_.exchange_address());
        }
        const std::string id = "entry-" + std::to_string(hosts_.size());
        hosts_.push_back(
            std::make_unique<entry_host>(store_, host_settings(id, seeds), store_down));
        return *hosts_.back();
    }

    bool all_hold(std::uint64_t version)
    {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [&](const auto& host) { return host->version_ == version; });
    }

    std::size_t watchers() const
    {
        return static_cast<std::size_t>(std::count_if(
            hosts_.begin(), hosts_.end(), [](const auto& host) { return host->holds_lease(); }));
    }
};

} // namespace savoryscale::tests
