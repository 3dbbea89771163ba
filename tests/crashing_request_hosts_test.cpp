// Several entry hosts and targets that crash when they begin to run a certain request, over real
// sockets.

#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

// Crashes, for good, when it gets a request with "crash" in its path.
class fragile_target {
public:
    explicit fragile_target(std::atomic<int>& crashes)
        : crashes_{crashes}, server_{[this](script_connection& connection, int) {
              serve(connection);
          }}
    {
    }

    ~fragile_target()
    {
        if (crasher_.joinable()) {
            crasher_.join();
        }
    }

    fragile_target(const fragile_target&) = delete;
    fragile_target& operator=(const fragile_target&) = delete;

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

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
            if (request.find("crash") != std::string::npos) {
                if (!crashed_.exchange(true)) {
                    ++crashes_;
                    crasher_ = std::thread{[this] { server_.crash(); }};
                }
                connection.wait_for_close();
                return;
            }
            std::this_thread::sleep_for(20ms);
            connection.send(ok_answer(
                "done", fmt::format("X-Id: {}\r\nX-Seal: s\r\n", field_of(request, "X-Id"))));
        }
    }

    std::atomic<int>& crashes_;
    std::atomic<bool> crashed_ = false;
    std::thread crasher_;
    fake_upstream server_;
};

} // namespace

TEST_GROUP(crashing_request_hosts)
{
    std::atomic<int> crashes{0};
    scripted_store store;
    std::vector<std::unique_ptr<fragile_target>> targets;
    std::vector<std::unique_ptr<running_routed_host>> hosts;

    // The first three hosts serve the others.
    settings::settings host_settings(int number) const
    {
        settings::settings config = directory_settings(store.port());
        config.host_.id_ = fmt::format("host-{}", number);
        config.directory_->drain_ = settings::seconds{2};
        settings::directory_feed feed{feed_address(number), {}, 30ms};
        for (int each = 0; each < 3; ++each) {
            feed.hosts_.push_back(feed_address(each));
        }
        config.directory_->feed_ = feed;
        return config;
    }

    void start(int host_count, int target_count)
    {
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger"),
                                 route_json("sell", "/sell/", "unsafe", "ledger")}));
        for (int i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<fragile_target>(crashes));
            store.put("servers", fmt::format("i-{}", i), server_json(targets.back()->port()));
        }
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<running_routed_host>(host_settings(i)));
        }
        for (auto& host : hosts) {
            CHECK(host->reaches(1, targets.size()));
        }
    }

    std::string send(std::size_t host, const std::string& path)
    {
        static int id = 0;
        test_client caller{hosts[host]->port()};
        caller.send(
            fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\n\r\n", path, ++id));
        return caller.read_answer();
    }
};

TEST(crashing_request_hosts, a_request_that_crashes_targets_is_sent_on_by_hosts_that_saw_no_crash)
{
    start(5, 16);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        send(host, "/sell/crash");
        send(host, "/sell/crash");
    }
    CHECK_TEXT(crashes <= 3, fmt::format("{} targets crashed", crashes.load()).c_str());
    STRCMP_CONTAINS("not-run", send(4, "/sell/crash").c_str());
    STRCMP_CONTAINS("done", send(4, "/sell/7").c_str());
}
