// Tests the complete request path over real sockets: caller, HTTP task, scripted upstream.

#include "http/head_text.hpp"
#include "http/proxied_call.hpp"
#include "support/fake_upstream.hpp"
#include "support/running_http_task.hpp"

#include <CppUTest/TestHarness.h>

#include <future>
#include <memory>

using namespace savoryscale;
using namespace savoryscale::testing;

namespace {

constexpr std::string_view get = "GET /lot/7 HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view commit =
    "POST /lot/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nsold";

// Answers every request with its request line.
void echo(script_connection& connection, int /*number*/)
{
    while (true) {
        const std::string request = connection.read_request();
        if (request.empty()) {
            return;
        }
        connection.send(ok_answer(request.substr(0, request.find('\r'))));
    }
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_path){};

TEST(http_path, forwards_requests_and_answers_on_one_connection)
{
    fake_upstream upstream{echo};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    for (int i = 0; i < 20; ++i) {
        const std::string line = "GET /lot/" + std::to_string(i) + " HTTP/1.1";
        caller.send(line + "\r\nHost: a\r\n\r\n");
        const std::string answer = caller.read_answer();
        STRCMP_CONTAINS("200 OK", answer.c_str());
        CHECK(contains(answer, "\r\n\r\n" + line));
    }
}

TEST(http_path, answers_pipelined_requests_in_order)
{
    fake_upstream upstream{echo};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(contains(caller.read_answer(), "GET /1 "));
    CHECK(contains(caller.read_answer(), "GET /2 "));
}

TEST(http_path, forwards_chunked_request_bodies_and_reframes_short_answers)
{
    fake_upstream upstream{[](script_connection& connection, int) {
        const std::string request = connection.read_request();
        const bool chunked = contains(request, "Transfer-Encoding: chunked") &&
                             contains(request, "4\r\nsold\r\n0\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.send(chunked ? "3\r\nyes\r\n0\r\n\r\n" : "2\r\nno\r\n0\r\n\r\n");
        connection.read_request();
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send("POST /lot HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\nsold\r\n0\r\n\r\n");
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "Content-Length: 3\r\n"));
    CHECK(!contains(answer, "chunked"));
    CHECK(answer.ends_with("\r\n\r\nyes"));
}

TEST(http_path, forwards_a_long_answer_in_chunks)
{
    const std::string part(http::answer_buffer_max, 'p');
    fake_upstream upstream{[&](script_connection& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.send(http::chunk_text(part));
        connection.send(http::chunk_text("end"));
        connection.send(http::last_chunk);
        connection.read_request();
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(get);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "Transfer-Encoding: chunked"));
    CHECK(contains(answer, "end"));
    CHECK(answer.ends_with("\r\n0\r\n\r\n"));
    CHECK(answer.size() > part.size());
}

TEST(http_path, rejects_requests_that_two_parsers_could_read_differently)
{
    std::atomic<int> requests = 0;
    fake_upstream upstream{[&](script_connection& connection, int) {
        while (!connection.read_request().empty()) {
            ++requests;
            connection.send(ok_answer("x"));
        }
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    const std::vector<std::string> attacks{
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
        "0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd",
        "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40000, 'y') + "\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "ffffffffffffffff1\r\nabcd\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    for (const std::string& attack : attacks) {
        test_client caller{host.port()};
        caller.send(attack);
        const std::string answer = caller.read_to_end();
        const bool refused = contains(answer, "HTTP/1.1 400 ") || contains(answer, "HTTP/1.1 431 ");
        CHECK_TEXT(refused, (attack.substr(0, 80) + " got " + answer).c_str());
        CHECK(contains(answer, "Savoryscale-Outcome: not-run"));
    }
    LONGS_EQUAL(0, requests);
}

TEST(http_path, a_surplus_answer_is_discarded)
{
    fake_upstream upstream{[](script_connection& connection, int number) {
        while (!connection.read_request().empty()) {
            connection.send(ok_answer("own") + (number == 0 ? ok_answer("stray") : ""));
        }
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    for (int i = 0; i < 5; ++i) {
        caller.send(get);
        CHECK(contains(caller.read_answer(), "\r\n\r\nown"));
    }
    CHECK(upstream.connections() > 1);
}

TEST(http_path, an_answer_with_another_request_id_is_discarded)
{
    fake_upstream upstream{[](script_connection& connection, int) {
        while (!connection.read_request().empty()) {
            connection.send(ok_answer("stray", "Savoryscale-Request-Id: other\r\n"));
        }
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(get);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, " 502 "));
    CHECK(contains(answer, "Savoryscale-Outcome: unknown"));
    CHECK(!contains(answer, "stray"));
}

// An answer is buffered until it is complete, so no part of a truncated one reaches the caller.
TEST(http_path, a_truncated_body_is_not_forwarded)
{
    std::atomic<int> commits = 0;
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            ++commits;
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, " 502 "));
    CHECK(contains(answer, "Savoryscale-Outcome: unknown"));
    CHECK(!contains(answer, "half"));
    LONGS_EQUAL(1, commits);
}

TEST(http_path, a_truncated_long_answer_closes_the_callers_connection)
{
    const std::string part(http::answer_buffer_max + 1, 'p');
    fake_upstream upstream{[&](script_connection& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + part);
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(get);
    const std::string answer = caller.read_to_end();
    CHECK(contains(answer, "Content-Length: 1000000"));
    CHECK(answer.size() < part.size() + 200);
}

TEST(http_path, an_answer_that_ends_with_its_connection_is_complete_after_a_normal_close)
{
    fake_upstream upstream{[](script_connection& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "200 OK"));
    CHECK(contains(answer, "Content-Length: 9\r\n"));
    CHECK(answer.ends_with("all of it"));
}

TEST(http_path, an_answer_that_ends_with_its_connection_is_incomplete_after_a_reset)
{
    std::atomic<int> commits = 0;
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            ++commits;
        }
        connection.send("HTTP/1.1 200 OK\r\n\r\nperhaps all");
        connection.reset();
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, " 502 "));
    CHECK(!contains(answer, "perhaps"));
    LONGS_EQUAL(1, commits);
}

TEST(http_path, a_commit_on_a_lost_connection_has_an_unknown_outcome_and_is_sent_once)
{
    std::atomic<int> commits = 0;
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            ++commits;
        }
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "Savoryscale-Outcome: unknown"));
    LONGS_EQUAL(1, commits);
}

TEST(http_path, a_commit_that_a_target_shed_is_retried_on_another)
{
    fake_upstream shedding{[](script_connection& connection, int) {
        connection.read_request();
        connection.send("HTTP/1.1 503 No\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n");
    }};
    fake_upstream working{echo};
    running_http_task host{single_service_settings({shedding.port(), working.port()})};
    int refused = 0;
    for (int i = 0; i < 12; ++i) {
        test_client caller{host.port()};
        caller.send(commit);
        const std::string answer = caller.read_answer();
        const bool not_run = contains(answer, "Savoryscale-Outcome: not-run");
        CHECK(not_run || contains(answer, "200 OK"));
        refused += not_run ? 1 : 0;
    }
    CHECK(refused <= 1); // before the first calls have earned a retry in the retry budget
}

TEST(http_path, a_503_without_the_not_run_header_is_forwarded_and_not_retried)
{
    std::atomic<int> commits = 0;
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            ++commits;
        }
        connection.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "503 No"));
    CHECK(!contains(answer, "not-run"));
    LONGS_EQUAL(1, commits);
}

TEST(http_path, a_commit_without_a_reachable_target_is_not_run)
{
    fake_upstream upstream{echo};
    upstream.stop_accepting();
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, " 503 "));
    CHECK(contains(answer, "Savoryscale-Outcome: not-run"));
    CHECK(!contains(answer, "Connection: close"));
}

TEST(http_path, a_refusal_keeps_the_callers_connection_open)
{
    fake_upstream upstream{echo};
    running_http_task host{single_service_settings({upstream.port()})};
    host.run([](http::http_task& task) { task.set_lists(unrestricted_lists("another")); });
    test_client caller{host.port()};
    for (int i = 0; i < 3; ++i) {
        caller.send(get);
        const std::string answer = caller.read_answer();
        CHECK(contains(answer, " 403 "));
        CHECK(!contains(answer, "Connection: close"));
    }
}

TEST(http_path, a_silent_target_causes_an_answer_at_the_deadline)
{
    fake_upstream upstream{[](script_connection& connection, int) { connection.wait_for_close(); }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client caller{host.port()};
    caller.send("POST /lot HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 30\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, " 504 "));
    CHECK(contains(answer, "Savoryscale-Outcome: unknown"));
}

TEST(http_path, a_crash_is_reported_to_the_peers_before_the_caller_can_send_again)
{
    std::unique_ptr<fake_upstream> upstream;
    std::promise<void> made;
    upstream = std::make_unique<fake_upstream>([&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            made.get_future().wait();
            upstream->stop_accepting();
        }
    });
    made.set_value();
    running_http_task host{single_service_settings({upstream->port()})};
    test_client caller{host.port()};
    caller.send(commit);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "Savoryscale-Outcome: unknown"));
    LONGS_EQUAL(2, host.suspicions()); // of the caller's request and of its content
}

TEST(http_path, a_graceful_stop_waits_for_a_slow_reader)
{
    const std::string body(60000, 'x'); // more than the reader's receive buffer holds
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (!connection.read_request().empty()) {
            connection.send(ok_answer(body));
        }
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client reader{host.port(), 4096};
    reader.send("GET /archive HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    host.run([](http::http_task& task) { task.begin_stop(); });
    CHECK(!host.wait_until_stopped(std::chrono::milliseconds{2500})); // exceeds stop lag + linger
    CHECK(reader.read_to_end().size() > body.size());
    CHECK(host.wait_until_stopped(std::chrono::seconds{20}));
}

// The host's thread is busy while the stop lag ends, so that the connections wait to be accepted.
TEST(http_path, a_graceful_stop_serves_connections_that_wait_to_be_accepted)
{
    fake_upstream upstream{echo};
    running_http_task host{single_service_settings({upstream.port()})};
    std::promise<void> blocked;
    host.http_task().post([&](http::http_task& task) {
        task.begin_stop();
        blocked.set_value();
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    });
    blocked.get_future().wait();
    std::vector<std::unique_ptr<test_client>> callers;
    for (int i = 0; i < 4; ++i) { // as many as the target's slots and queue take
        callers.push_back(std::make_unique<test_client>(host.port()));
        callers.back()->send(get);
    }
    for (auto& caller : callers) {
        const std::string answer = caller->read_answer();
        CHECK(contains(answer, "200 OK"));
        CHECK(contains(answer, "Connection: close"));
    }
    CHECK(host.wait_until_stopped(std::chrono::seconds{5}));
}

// A caller that has just connected is about to send its request.
TEST(http_path, a_graceful_stop_waits_for_the_first_request_of_a_new_connection)
{
    fake_upstream upstream{echo};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client silent{host.port()};
    test_client caller{host.port()};
    while (host.callers() < 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    host.run([](http::http_task& task) { task.begin_stop(); });
    std::this_thread::sleep_for(std::chrono::milliseconds{100}); // the stop lag is over
    caller.send(get);
    const std::string answer = caller.read_answer();
    CHECK(contains(answer, "200 OK"));
    CHECK(contains(answer, "Connection: close"));
    CHECK(contains(silent.read_answer(), " 408 "));
    CHECK(host.wait_until_stopped(std::chrono::seconds{5}));
}

TEST(http_path, a_graceful_stop_completes_requests_in_progress)
{
    std::promise<void> arrived;
    std::promise<void> go_on;
    fake_upstream upstream{[&](script_connection& connection, int) {
        if (connection.read_request().empty()) {
            return; // a connection that was opened in advance
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        arrived.set_value();
        go_on.get_future().wait();
        connection.send("half");
    }};
    running_http_task host{single_service_settings({upstream.port()})};
    test_client busy{host.port()};
    test_client idle{host.port()};
    busy.send(get);
    arrived.get_future().wait();
    host.run([](http::http_task& task) { task.begin_stop(); });
    const std::string ended = idle.read_to_end();
    CHECK(contains(ended, " 408 "));
    CHECK(contains(ended, "Savoryscale-Outcome: not-run"));
    const bool stopped_early = host.stopped();
    go_on.set_value();
    CHECK(contains(busy.read_to_end(), "halfhalf"));
    CHECK(!stopped_early);
}
