#include "membership/control_task.hpp"
#include "plans/configuration.hpp"
#include "platform/status_record.hpp"
#include "support/fake_platform.hpp"

#include <zmq.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr control_timing quick{milliseconds{300},  milliseconds{1000}, milliseconds{100},
                               milliseconds{100},  milliseconds{500},  milliseconds{1500},
                               milliseconds{300},  milliseconds{300},  milliseconds{300},
                               milliseconds{2000}, milliseconds{400}};

const settings::endpoint target_address{"10.0.0.9", 80};

std::string configuration_text(std::uint64_t version)
{
    plans::configuration value;
    value.lists_.version_ = version;
    return plans::print(value);
}

settings::settings host_settings(const std::string& id, std::vector<settings::endpoint> seeds)
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

// One control plane, with what it told its host.
struct entry_host {
    entry_host(tests::fake_store& store, const settings::settings& settings,
               bool store_down = false)
        : client_{store}, task_{settings, client_, client_, callbacks(), quick}
    {
        client_.down_ = store_down;
        CHECK(task_.start().has_value());
    }

    control_callbacks callbacks()
    {
        control_callbacks made;
        made.on_lists_ = [this](const plans::lists& lists) {
            fell_ = fell_ || lists.version_ < version_;
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

    bool target_leaves()
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

    bool watches() const { return task_.counters().watching_ == 1; }

    std::atomic<std::uint64_t> version_{0};
    std::atomic<bool> fell_{false};
    std::atomic<bool> ready_{false};
    std::atomic<int> suspicions_{0};
    std::mutex mutex_;
    std::map<std::string, std::vector<routing::target_info>> targets_;
    std::map<std::string, std::uint64_t> shares_;
    tests::fake_client client_;
    control_task task_;
};

// Waits up to twenty seconds for a condition.
template<class Condition>
bool becomes(Condition&& condition)
{
    for (int i = 0; i < 1000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
}

} // namespace

TEST_GROUP(control)
{
    tests::fake_store store_;
    std::vector<std::unique_ptr<entry_host>> hosts_;

    void setup() override
    {
        write(1);
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
            hosts_.begin(), hosts_.end(), [](const auto& host) { return host->watches(); }));
    }

    void teardown() override
    {
        for (const auto& host : hosts_) {
            CHECK_FALSE(host->fell_);
        }
    }
};

TEST(control, two_hosts_watch_the_store_and_tell_the_rest)
{
    for (int i = 0; i < 6; ++i) {
        add();
    }
    CHECK(becomes([&] { return watchers() == 2 && all_hold(1); }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
    LONGS_EQUAL(2, watchers());
    CHECK(becomes([&] {
        return std::all_of(hosts_.begin(), hosts_.end(),
                           [](const auto& host) { return host->ready_.load(); });
    }));
}

TEST(control, the_first_watcher_reports_what_each_host_holds)
{
    add();
    add();
    CHECK(becomes([&] {
        const auto record =
            platform::parse_status_record(store_.value(platform::status_key("mobile")));
        return record && record->hosts_.size() == 2 &&
               std::all_of(record->hosts_.begin(), record->hosts_.end(), [](const auto& host) {
                   return host.held_version_ == 1 && host.behind_reason_.empty();
               });
    }));
}

TEST(control, a_host_that_starts_with_the_store_down_learns_from_its_peers)
{
    add();
    CHECK(becomes([&] { return all_hold(1); }));
    entry_host& late = add(true);
    CHECK(becomes([&] { return late.version_ == 1 && late.ready_; }));
}

TEST(control, a_host_without_any_source_is_not_ready)
{
    entry_host& alone = add(true);
    CHECK(becomes([&] { return alone.task_.counters().store_calls_ > 3; }));
    CHECK_FALSE(alone.ready_);
    alone.client_.down_ = false;
    CHECK(becomes([&] { return alone.ready_ && alone.version_ == 1; }));
}

TEST(control, a_watcher_cut_from_the_store_is_relieved_and_still_hears_news)
{
    for (int i = 0; i < 4; ++i) {
        add();
    }
    CHECK(becomes([&] { return watchers() == 2; }));
    std::vector<entry_host*> cut;
    for (const auto& host : hosts_) {
        if (host->watches()) {
            cut.push_back(host.get());
            host->client_.down_ = true;
        }
    }
    CHECK(becomes([&] {
        return watchers() == 2 && std::none_of(cut.begin(), cut.end(),
                                               [](const auto* host) { return host->watches(); });
    }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
}

TEST(control, a_host_cut_from_its_peers_watches_the_store_itself)
{
    add();
    CHECK(becomes([&] { return all_hold(1) && watchers() == 1; }));
    // Nothing answers at this seed.
    const settings::endpoint nobody{"127.0.0.1", 1};
    hosts_.push_back(std::make_unique<entry_host>(store_, host_settings("apart", {nobody})));
    CHECK(becomes([&] { return all_hold(1); }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
    write(3);
    CHECK(becomes([&] { return all_hold(3); }));
}

TEST(control, a_host_cut_from_everything_serves_what_it_holds)
{
    entry_host& left = add();
    CHECK(becomes([&] { return left.ready_ && left.version_ == 1; }));
    left.client_.down_ = true;
    write(2); // ends the watch under way
    const std::uint64_t calls = left.task_.counters().store_calls_;
    CHECK(becomes([&] { return left.task_.counters().store_calls_ > calls + 3; }));
    CHECK(left.ready_);
}

TEST(control, a_drain_seen_by_one_host_is_known_to_all)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(drain_seen{"photo", target_address, 0});
    CHECK(becomes([&] { return first.target_leaves() && second.target_leaves(); }));
}

TEST(control, a_suspicion_reaches_the_other_hosts_only)
{
    entry_host& first = add();
    entry_host& second = add();
    first.task_.post(suspicion_raised{{peer::fact_kind::suspicion, "ff", 1, "t", 60}});
    CHECK(becomes([&] { return second.suspicions_ == 1; }));
    LONGS_EQUAL(0, first.suspicions_);
}

TEST(control, the_host_list_read_by_a_watcher_reaches_all)
{
    entry_host& first = add();
    entry_host& second = add(true);
    first.client_.list(
        {{"t-1", platform::host_kind::target, "photo", "mobile", target_address, 5, true}});
    CHECK(becomes([&] { return first.target_leaves() && second.target_leaves(); }));
}

TEST(control, a_stopping_host_is_not_ready_and_gives_up_its_lease)
{
    entry_host& first = add();
    entry_host& second = add();
    CHECK(becomes([&] { return first.ready_ && watchers() == 2; }));
    first.task_.post(stopping{});
    CHECK(becomes([&] { return !first.ready_ && !first.watches(); }));
    CHECK(second.watches());
}

TEST(control, half_of_a_share_counts_at_once_and_the_rest_after_a_term)
{
    entry_host& host = add();
    CHECK(becomes([&] { return host.share("probes/photo") == 2; }));
    CHECK(becomes([&] { return host.share("probes/photo") == 100 / 24; }));
}

TEST(control, unused_share_is_granted_to_a_host_that_wants_more)
{
    entry_host& idle = add();
    entry_host& busy = add();
    idle.task_.post(share_demand{"probes/photo", 0});
    busy.task_.post(share_demand{"probes/photo", 50});
    CHECK(becomes([&] { return busy.share("probes/photo") == 6; }));
    CHECK(idle.share("probes/photo") <= 2);
}
