// Several hosts and a target that turns cold, over real sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>

using namespace savoryscale;
using namespace savoryscale::testing;

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr std::string_view lookup = "GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n";

// A target that is always idle, names the time that it stays cold, and notes when requests arrive.
class cold_target {
public:
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    void turn_cold(steady_clock::duration time)
    {
        const std::lock_guard lock{mutex_};
        warm_at_ = steady_clock::now() + time;
        arrivals_.clear();
    }

    std::vector<steady_clock::time_point> arrivals()
    {
        const std::lock_guard lock{mutex_};
        return arrivals_;
    }

    // Those up to now that came while it was cold, also when this is asked late on a busy machine.
    std::vector<steady_clock::time_point> arrivals_while_cold()
    {
        const std::lock_guard lock{mutex_};
        auto cold = arrivals_;
        std::erase_if(cold, [this](const auto at) { return at >= warm_at_; });
        return cold;
    }

private:
    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            std::unique_lock lock{mutex_};
            const auto now = steady_clock::now();
            if (request.starts_with("GET /health ")) {
                const auto left =
                    std::chrono::duration_cast<std::chrono::milliseconds>(warm_at_ - now);
                const std::string field =
                    left > 0ms ? fmt::format("X-Warm-Up: {}\r\n", left.count()) : "";
                lock.unlock();
                connection.send(ok_answer("", "X-Load: 0,0,8,100\r\n" + field));
                continue;
            }
            arrivals_.push_back(now);
            lock.unlock();
            connection.send(
                ok_answer("done", "X-Id: " + field_of(request, "X-Id") + "\r\nX-Seal: s\r\n"));
        }
    }

    std::mutex mutex_;
    steady_clock::time_point warm_at_{};
    std::vector<steady_clock::time_point> arrivals_;
    fake_upstream server_{[this](script_connection& connection, int) { serve(connection); }};
};

std::size_t most_in_a_second(const std::vector<steady_clock::time_point>& arrivals)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= 1s) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_GROUP(cold_hosts)
{
    static constexpr double per_second = 6;
    static constexpr int host_count = 3;
    scripted_store store;
    cold_target target;

    void setup() override
    {
        store.put("servers", "i-1", server_json(target.port()));
        nlohmann::json state = state_json(1, {route_json("look", "/look/", "safe", "ledger")});
        state["services"][0]["warmup_s"] = 3;
        state["services"][0]["cold_per_s"] = per_second;
        store.put("config", "main", state);
    }

    settings::settings settings_of(int number) const
    {
        settings::settings config = directory_settings(store.port());
        config.header_names_.warm_up_ = "X-Warm-Up";
        config.directory_->cold_ = {1.5, 8};
        settings::directory_feed feed{feed_address(number), {}, std::chrono::seconds{2}, {}};
        for (int host = 0; host < host_count; ++host) {
            feed.hosts_.push_back(feed_address(host));
        }
        config.directory_->feed_ = feed;
        return config;
    }
};

// Callers press on all hosts without a pause; the target turns cold at some moment.
TEST(cold_hosts, target_that_turns_cold_gets_what_it_bears)
{
    std::vector<std::unique_ptr<running_routed_host>> hosts;
    for (int number = 0; number < host_count; ++number) {
        hosts.push_back(std::make_unique<running_routed_host>(settings_of(number)));
    }
    for (const auto& host : hosts) {
        CHECK(host->reaches(1, 1));
    }
    std::atomic<bool> ended = false;
    std::vector<std::thread> callers;
    for (const auto& host : hosts) {
        callers.emplace_back([&ended, port = host->port()] {
            while (!ended) {
                test_client caller{port};
                caller.send(lookup);
                caller.read_answer();
            }
        });
    }
    std::this_thread::sleep_for(700ms);
    const auto warm = target.arrivals();
    target.turn_cold(3s);
    std::this_thread::sleep_for(2900ms);
    const auto cold = target.arrivals_while_cold();
    std::this_thread::sleep_for(1000ms);
    const auto after = target.arrivals();
    ended = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(warm.size() > 40); // more than it bears when cold
    CHECK(static_cast<double>(most_in_a_second(cold)) <= per_second * 1.5 + 8);
    CHECK(cold.size() > 3); // granters have just started and grant little
    CHECK(after.size() > cold.size() + 40);
}
