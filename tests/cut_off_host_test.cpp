// Entry hosts of which some reach no target, while callers, the store and the other hosts still
// reach them. Each host has its own store, which lists the targets at addresses of its own.

#include "support/relay.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;
using tests::path_cut;

namespace {

// Answers with the body of the request, and counts the runs of each request.
class counting_target {
public:
    counting_target() : server_{[this](script_connection& connection, int) { serve(connection); }}
    {
    }

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    std::map<std::string, std::string> runs() // the request last received with each id
    {
        const std::lock_guard lock{mutex_};
        return runs_;
    }

    [[nodiscard]] int repeated() const { return repeated_; }

private:
    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            if (request.starts_with("GET /health ")) {
                connection.send(ok_answer("", "X-Load: 0,0,2,100\r\n"));
                continue;
            }
            {
                const std::lock_guard lock{mutex_};
                repeated_ += runs_.count(field_of(request, "X-Id")) > 0 ? 1 : 0;
                runs_[field_of(request, "X-Id")] = request;
            }
            std::this_thread::sleep_for(5ms);
            connection.send(
                ok_answer("done" + request.substr(request.find("\r\n\r\n") + 4),
                          fmt::format("X-Id: {}\r\nX-Seal: s\r\n", field_of(request, "X-Id"))));
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::string> runs_;
    std::atomic<int> repeated_ = 0;
    fake_upstream server_;
};

struct served {
    int all_ = 0;
    int answered_ = 0;
    int slow_ = 0; // answered, or refused, after more than half a second
};

} // namespace

TEST_GROUP(cut_off_host)
{
    std::vector<std::unique_ptr<counting_target>> targets;
    std::vector<std::unique_ptr<scripted_store>> stores;
    std::vector<std::vector<std::unique_ptr<tests::relay>>> paths; // by host, then by target
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    settings::settings host_settings(int number) const
    {
        settings::settings config =
            directory_settings(stores[static_cast<std::size_t>(number)]->port());
        config.host_.id_ = fmt::format("host-{}", number);
        config.directory_->drain_ = settings::seconds{2};
        settings::directory_feed feed{feed_address(number), {}, 30ms};
        for (int each = 0; each < 3; ++each) {
            feed.hosts_.push_back(feed_address(each));
        }
        config.directory_->feed_ = feed;
        return config;
    }

    void start(int target_count)
    {
        for (int i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<counting_target>());
        }
        for (int host = 0; host < 3; ++host) {
            stores.push_back(std::make_unique<scripted_store>());
            stores.back()->put("config", "main",
                               state_json(1, {route_json("look", "/look/", "safe", "ledger"),
                                              route_json("sell", "/sell/", "unsafe", "ledger")}));
            paths.emplace_back();
            for (const auto& target : targets) {
                paths.back().push_back(std::make_unique<tests::relay>(target->port()));
                stores.back()->put("servers", fmt::format("i-{}", paths.back().size()),
                                   server_json(paths.back().back()->port()));
            }
        }
        for (int host = 0; host < 3; ++host) {
            hosts.push_back(std::make_unique<running_routed_host>(host_settings(host)));
        }
        for (auto& host : hosts) {
            CHECK(host->reaches(1, targets.size()));
        }
        std::this_thread::sleep_for(500ms); // each host has read the addresses in its own store
    }

    void cut(std::size_t host, path_cut how)
    {
        for (auto& path : paths[host]) {
            path->set_cut(how);
        }
    }

    // Sends requests to the host one after the other for a time.
    served call_for(std::size_t host, duration time)
    {
        static std::atomic<int> id = 0;
        served seen;
        const time_point end = monotonic_now() + time;
        while (monotonic_now() < end) {
            const time_point began = monotonic_now();
            test_client caller{hosts[host]->port()};
            const int number = ++id;
            caller.send(fmt::format("POST /{}/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n"
                                    "X-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\n{:04}",
                                    number % 2 == 0 ? "look" : "sell", number, number % 10000));
            const std::string answer = caller.read_answer();
            ++seen.all_;
            seen.answered_ += answer.ends_with(fmt::format("done{:04}", number % 10000)) ? 1 : 0;
            seen.slow_ += monotonic_now() - began > 500ms ? 1 : 0;
            std::this_thread::sleep_for(10ms);
        }
        return seen;
    }

    // The rule: from 3 s after the cut, served two thirds as often as at the other hosts.
    void check_served(path_cut how)
    {
        cut(0, how);
        call_for(0, 3s);
        const served here = call_for(0, 1s);
        const served there = call_for(1, 1s);
        CHECK_EQUAL(there.all_, there.answered_);
        CHECK_TEXT(3 * here.answered_ >= 2 * here.all_,
                   fmt::format("{} of {} served", here.answered_, here.all_).c_str());
        for (const auto& target : targets) {
            LONGS_EQUAL(0, target->repeated());
        }
    }
};

TEST(cut_off_host, callers_of_a_host_that_reaches_no_target_are_refused)
{
    start(4);
    check_served(path_cut::silent);
}
