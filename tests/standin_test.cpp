#include "common/content.hpp"
#include "common/upstream_farm.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <string>
#include <thread>

// After the others: it replaces operator new by a macro.
#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::standins;
using boost::asio::ip::tcp;

namespace {

behaviour fast_behaviour()
{
    behaviour traits;
    traits.service_us_ = 100;
    traits.open_us_ = 0;
    traits.stall_ms_ = 50;
    traits.late_ms_ = 1;
    return traits;
}

// A farm with one target on its own thread, which tests query over blocking sockets.
struct running_farm {
    explicit running_farm(const behaviour& traits)
        : farm_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, traits, 7}
    {
        farm_.start();
        address_ = farm_.at(0).address();
        thread_ = std::thread{[this] { io_.run(); }};
    }

    ~running_farm()
    {
        io_.stop();
        thread_.join();
    }

    running_farm(const running_farm&) = delete;
    running_farm& operator=(const running_farm&) = delete;

    // Sends `request` on a new connection and returns all bytes until it closes, but at most
    // `count` bytes.
    std::string exchange(const std::string& request, std::size_t count = 1 << 20)
    {
        boost::asio::io_context io;
        tcp::socket socket{io};
        socket.connect(address_);
        boost::asio::write(socket, boost::asio::buffer(request));
        std::string answer(count, '\0');
        boost::system::error_code end;
        answer.resize(boost::asio::read(socket, boost::asio::buffer(answer), end));
        return answer;
    }

    nlohmann::json counters()
    {
        std::promise<std::string> text;
        boost::asio::post(io_, [&] {
            text.set_value(farm_.control({"GET", "/control/counters", ""}).body_);
        });
        return nlohmann::json::parse(text.get_future().get());
    }

    boost::asio::io_context io_;
    upstream_farm farm_;
    tcp::endpoint address_;
    std::thread thread_;
};

std::string get(const std::string& target, const std::string& headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n";
}

std::string body_of(const std::string& answer)
{
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string{} : answer.substr(end + 4);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(standin){};

TEST(standin, answers_with_the_content_of_the_path_and_its_ranges)
{
    running_farm running{fast_behaviour()};
    const std::string target = "/photos/7?size=100000";
    const std::string whole = body_of(running.exchange(get(target)));
    LONGS_EQUAL(100000, whole.size());
    CHECK(is_content(fnv(target), 0, whole));

    const std::string etag = content_etag(fnv(target), 100000);
    const std::string part =
        running.exchange(get(target, "Range: bytes=99-1098\r\nIf-Range: " + etag + "\r\n"));
    CHECK(contains(part, "206 Partial Content"));
    CHECK(contains(part, "Content-Range: bytes 99-1098/100000"));
    CHECK_EQUAL(whole.substr(99, 1000), body_of(part));

    const std::string changed =
        running.exchange(get(target, "Range: bytes=99-\r\nIf-Range: \"other\"\r\n"));
    CHECK(contains(changed, "200 OK"));
    LONGS_EQUAL(100000, body_of(changed).size());
}

TEST(standin, counts_each_commit_and_echoes_its_digest)
{
    running_farm running{fast_behaviour()};
    const std::string request = "POST /ledger HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                "X-Commit-Id: c1\r\nContent-Length: 3\r\n\r\nabc";
    CHECK_EQUAL(commit_answer("c1", 3, fnv("abc")), body_of(running.exchange(request)));
    running.exchange(request);
    const auto counted = running.counters();
    LONGS_EQUAL(2, counted["commits"]["c1"][1].get<int>());
    LONGS_EQUAL(2, counted["targets"][0]["requests"].get<int>());
    LONGS_EQUAL(1, counted["targets"][0]["connections_max"].get<int>());
}

TEST(standin, faults_are_visible_on_the_wire)
{
    const std::string request = get("/a?size=1000");
    auto traits = fast_behaviour();
    traits.faults_.truncate_ = 1;
    running_farm truncating{traits};
    LONGS_EQUAL(500, body_of(truncating.exchange(request)).size());

    traits.faults_ = {};
    traits.faults_.twice_ = 1;
    running_farm repeating{traits};
    const std::string twice = repeating.exchange(request);
    CHECK_EQUAL(twice.substr(0, twice.size() / 2), twice.substr(twice.size() / 2));

    traits.faults_ = {};
    traits.faults_.shed_ = 1;
    running_farm shedding{traits};
    CHECK(contains(shedding.exchange(request, 100), "503 Service Unavailable"));
    LONGS_EQUAL(0, shedding.counters()["targets"][0]["started"].get<int>());

    traits.faults_ = {};
    traits.faults_.stall_ = 1;
    running_farm stalling{traits};
    CHECK_EQUAL(std::string{}, stalling.exchange(request));
}

TEST(standin, a_draining_target_reports_its_drain_and_closes_idle_connections)
{
    auto traits = fast_behaviour();
    traits.drain_idle_ms_ = 100; // also for a new connection that has sent no request yet
    running_farm running{traits};
    boost::asio::post(running.io_, [&] { running.farm_.control({"POST", "/control/drain", ""}); });
    const std::string answer =
        running.exchange("GET /a?size=1 HTTP/1.1\r\nHost: x\r\n\r\n"); // ends with the close
    CHECK(contains(answer, "X-Draining: 1"));
    LONGS_EQUAL(1, running.counters()["targets"][0]["requests_after_drain"].get<int>());
}

TEST(standin, a_crash_closes_every_connection_and_counts_the_commit_as_started)
{
    running_farm running{fast_behaviour()};
    CHECK_EQUAL(std::string{}, running.exchange("POST /a HTTP/1.1\r\nHost: x\r\nX-Crash: 1\r\n"
                                                "X-Commit-Id: c\r\nContent-Length: 0\r\n\r\n"));
    const auto counted = running.counters();
    LONGS_EQUAL(1, counted["targets"][0]["crashes"].get<int>());
    LONGS_EQUAL(1, counted["commits"]["c"][0].get<int>());
    LONGS_EQUAL(0, counted["commits"]["c"][1].get<int>());
}

TEST(standin, a_behaviour_change_is_applied_completely_or_not_at_all)
{
    const behaviour before;
    const auto good = with_changes(before, nlohmann::json::parse(R"({"slots": 3, "stall": 0.5})"));
    LONGS_EQUAL(3, good->slots_);
    DOUBLES_EQUAL(0.5, good->faults_.stall_, 0);
    CHECK(!with_changes(before, nlohmann::json::parse(R"({"slots": 3, "stal": 0.5})")));
    CHECK(!with_changes(before, nlohmann::json::parse(R"({"slots": "3"})")));
}
