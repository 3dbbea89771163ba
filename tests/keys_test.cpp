// Callers with and without keys at a host whose desired state lists organisations, over sockets.

#include "support/running_routed_host.hpp"
#include "telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/mman.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

constexpr const char* key_header = "Authorization: Token key-a\r\n";

} // namespace

TEST_GROUP(keys)
{
    std::mutex mutex;
    std::string received;   // the request last received by a target
    int requests = 0;       // that targets have received
    bool withdraws = false; // the key is withdrawn when a target has received the next request
    scripted_store store;
    std::unique_ptr<fake_upstream> target;
    std::unique_ptr<fake_upstream> other_target;
    std::unique_ptr<running_routed_host> host;

    nlohmann::json state(std::uint64_t version, const char* key = "key-a") const
    {
        auto open = route_json("open", "/open/", "safe", "ledger");
        open["public"] = true;
        auto made = state_json(version, {route_json("look", "/look/", "safe", "ledger"), open});
        made["tenants"] = {{{"name", "kaje"}, {"api_keys", {key}}}};
        return made;
    }

    void start(settings::seconds keys_age_max = settings::seconds{0})
    {
        const auto serves = [this](script_connection& connection, int) { serve(connection); };
        target = std::make_unique<fake_upstream>(serves);
        other_target = std::make_unique<fake_upstream>(serves);
        store.put("servers", "i-1", server_json(target->port()));
        store.put("servers", "i-2", server_json(other_target->port()));
        auto config = directory_settings(store.port());
        config.header_names_.organisation_ = "X-Organisation";
        config.directory_->keys_age_max_ = keys_age_max;
        host = std::make_unique<running_routed_host>(config);
        CHECK(host->reaches(1, 2));
    }

    void serve(script_connection & connection)
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
            bool withdraws_now = false;
            {
                const std::lock_guard lock{mutex};
                received = request;
                ++requests;
                withdraws_now = std::exchange(withdraws, false);
            }
            const std::string id = field_of(request, "X-Id");
            if (withdraws_now) {
                store.put("config", "main", state(2, "key-b"));
                host->reaches(2, 2);
                connection.send(fmt::format(
                    "HTTP/1.1 421 Wrong\r\nX-Id: {}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                    id));
                continue;
            }
            connection.send(ok_answer("done", fmt::format("X-Id: {}\r\nX-Seal: s\r\n", id)));
        }
    }

    std::string call(const std::string& path, const std::string& fields)
    {
        test_client caller{host->port()};
        caller.send(
            fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n{}\r\n", path, fields));
        return caller.read_answer();
    }

    std::string last_request()
    {
        const std::lock_guard lock{mutex};
        return received;
    }
};

TEST(keys, the_target_gets_the_organisation_and_never_the_key)
{
    store.put("config", "main", state(1));
    start();
    CHECK(call("/look/1", std::string{key_header} + "X-Organisation: other\r\n")
              .starts_with("HTTP/1.1 200"));
    CHECK(field_of(last_request(), "X-Organisation") == "kaje");
    CHECK(last_request().find("key-a") == std::string::npos);
    CHECK(last_request().find("other") == std::string::npos);
}

TEST(keys, a_request_without_a_known_key_does_not_run)
{
    store.put("config", "main", state(1));
    start();
    for (const std::string& fields :
         {std::string{}, std::string{"Authorization: Token key-b\r\n"},
          std::string{"Authorization: Basic key-a\r\n"}, std::string{key_header} + key_header,
          "Authorization: Token " + std::string(9000, 'k') + "\r\n"}) {
        const std::string answer = call("/look/1", fields);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 401"), answer.c_str());
        CHECK(field_of(answer, "Savoryscale-Outcome") == "not-run");
    }
    CHECK(call("/none/1", key_header).starts_with("HTTP/1.1 404"));
    CHECK(last_request().empty());
}

TEST(keys, a_public_route_names_only_those_it_knows)
{
    store.put("config", "main", state(1));
    start();
    CHECK(call("/open/1", key_header).starts_with("HTTP/1.1 200"));
    CHECK(field_of(last_request(), "X-Organisation") == "kaje");
    for (const char* fields : {"", "Authorization: Token key-b\r\nX-Organisation: kaje\r\n"}) {
        CHECK(call("/open/1", fields).starts_with("HTTP/1.1 200"));
        CHECK(last_request().find("X-Organisation") == std::string::npos);
        CHECK(last_request().find("Authorization") == std::string::npos);
    }
}

TEST(keys, a_key_that_is_withdrawn_no_longer_counts_on_an_open_connection)
{
    store.put("config", "main", state(1));
    start();
    test_client caller{host->port()};
    const std::string request =
        fmt::format("GET /look/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n{}\r\n", key_header);
    caller.send(request);
    CHECK(caller.read_answer().starts_with("HTTP/1.1 200"));
    store.put("config", "main", state(2, "key-b"));
    CHECK(host->reaches(2, 2));
    caller.send(request);
    CHECK(caller.read_answer().starts_with("HTTP/1.1 401"));
}

TEST(keys, a_key_that_is_withdrawn_between_two_attempts_sends_no_second_one)
{
    store.put("config", "main", state(1));
    start();
    for (int i = 0; i < 20; ++i) { // another attempt needs some requests before it
        CHECK(call("/look/1", key_header).starts_with("HTTP/1.1 200"));
    }
    withdraws = true;
    const std::string answer = call("/look/1", key_header);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 401"), answer.c_str());
    CHECK(field_of(answer, "Savoryscale-Outcome") == "not-run");
    const std::lock_guard lock{mutex};
    CHECK_EQUAL(21, requests);
}

TEST(keys, what_hosts_tell_each_other_is_not_believed_from_a_caller)
{
    store.put("config", "main", state(1));
    start();
    for (const char* field : {"Savoryscale-Caller: 10.1.2.3; organisation=kaje\r\n",
                              "X-Organisation: kaje\r\nX-Organisation: kaje\r\n"}) {
        CHECK(call("/look/1", field).starts_with("HTTP/1.1 401"));
        CHECK(call("/open/1", field).starts_with("HTTP/1.1 200"));
        CHECK(last_request().find("kaje") == std::string::npos);
    }
}

TEST(keys, a_key_is_in_no_line_of_the_log)
{
    store.put("config", "main", state(1));
    start();
    const int log = memfd_create("log", 0);
    host->run([log](http::http_task&) {
        telemetry::start_single_threaded_logging({true, "debug", 100000}, log);
    });
    CHECK(call("/look/1", key_header).starts_with("HTTP/1.1 200"));
    CHECK(call("/look/1", "Authorization: Token key-b\r\n").starts_with("HTTP/1.1 401"));
    store.put("config", "main", state(2, "key-b"));
    CHECK(host->reaches(2, 2));
    host->run([](http::http_task&) {
        telemetry::flush_log();
        telemetry::stop_logging();
    });
    std::string lines(1 << 20U, '\0');
    lines.resize(static_cast<std::size_t>(pread(log, lines.data(), lines.size(), 0)));
    CHECK(lines.find("send_refused") != std::string::npos);
    CHECK(lines.find("key-") == std::string::npos);
}

TEST(keys, a_host_whose_list_is_too_old_refuses_keyed_requests_as_not_run)
{
    store.put("config", "main", state(1));
    start(settings::seconds{0.6});
    CHECK(call("/look/1", key_header).starts_with("HTTP/1.1 200"));
    store.set_unavailable(true);
    std::this_thread::sleep_for(1s);
    const std::string refused = call("/look/1", key_header);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(field_of(refused, "Savoryscale-Outcome") == "not-run");
    CHECK(call("/open/1", key_header).starts_with("HTTP/1.1 200"));
    CHECK(last_request().find("X-Organisation") == std::string::npos);
    store.set_unavailable(false);
    std::string answer;
    for (int i = 0; i < 300 && !answer.starts_with("HTTP/1.1 200"); ++i) {
        std::this_thread::sleep_for(10ms);
        answer = call("/look/1", key_header);
    }
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

TEST(keys, a_desired_state_without_organisations_leaves_the_header_alone)
{
    auto plain = state(1);
    plain.erase("tenants");
    store.put("config", "main", plain);
    start();
    CHECK(call("/look/1", key_header).starts_with("HTTP/1.1 200"));
    CHECK(field_of(last_request(), "Authorization") == "Token key-a");
}
