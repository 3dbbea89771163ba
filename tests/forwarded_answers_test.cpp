// The end of an answer that is forwarded: exactly one, wherever the target's answer ends and
// however it is framed, so that the next answer on the connection begins where it is expected.

#include "http/head_text.hpp"
#include "http/proxied_call.hpp"
#include "support/answer_bytes.hpp"
#include "support/fake_upstream.hpp"
#include "support/running_http_task.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

enum class framing { length, chunks, end_of_connection };
constexpr std::array all_framings{framing::length, framing::chunks, framing::end_of_connection};
constexpr std::array<std::string_view, 3> framing_names{"length", "chunks", "end of connection"};

constexpr std::size_t short_of_memory_max = 16384;

// Sends an answer of this many bytes to /first, and a short one to everything else.
void answer_all(script_connection& connection, framing how, const std::atomic<std::size_t>& size)
{
    for (std::string request = connection.read_request(); !request.empty();
         request = connection.read_request()) {
        if (request.find(" /first ") == std::string::npos) {
            connection.send(ok_answer("second"));
            continue;
        }
        const std::string body = request.starts_with("HEAD ") ? "" : std::string(size, 'p');
        switch (how) {
        case framing::length:
            connection.send(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", size.load(), body));
            break;
        case framing::chunks:
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (!body.empty()) {
                connection.send(fmt::format("{:x}\r\n{}\r\n", body.size(), body));
            }
            if (!request.starts_with("HEAD ")) {
                connection.send("0\r\n\r\n");
            }
            break;
        case framing::end_of_connection:
            connection.send("HTTP/1.1 200 OK\r\n\r\n" + body);
            connection.close();
            return;
        }
    }
}

// Asks for both answers on one connection, and checks every byte of them.
void check_both_answers(std::uint16_t port, std::string_view method, std::size_t size,
                        const std::string& what)
{
    test_client caller{port};
    caller.send(fmt::format("{} /first HTTP/1.1\r\nHost: a\r\n\r\n"
                            "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                            method));
    std::string bytes = caller.read_to_end();
    const bool has_body = method != "HEAD";
    const auto first = take_answer(bytes, has_body);
    CHECK_TEXT(first && *first == std::string(has_body ? size : 0, 'p'), what.c_str());
    const auto second = take_answer(bytes);
    CHECK_TEXT(second && *second == "second", what.c_str());
    LONGS_EQUAL_TEXT(0, bytes.size(), what.c_str());
}

void check_sizes(std::uint16_t port, framing how, std::atomic<std::size_t>& size,
                 std::initializer_list<std::size_t> sizes)
{
    for (const std::size_t each : sizes) {
        size = each;
        for (const std::string_view method : {"GET", "HEAD"}) {
            check_both_answers(port, method, each,
                               fmt::format("{}, {}, {} bytes", method,
                                           framing_names[static_cast<std::size_t>(how)], each));
        }
    }
}

bool is_short_of_memory(running_http_task& host)
{
    std::size_t limit = 0;
    host.run([&](http::http_task& task) { limit = task.body_limit(http::answer_buffer_max); });
    return limit == short_of_memory_max;
}

} // namespace

TEST_GROUP(forwarded_answers){};

// The end of the body was written when nothing was left to forward, and then once more.
TEST(forwarded_answers, a_last_chunk_stands_where_the_next_answer_is_due)
{
    for (const framing how : all_framings) {
        std::atomic<std::size_t> size = 0;
        fake_upstream target{
            [&](script_connection& connection, int) { answer_all(connection, how, size); }};
        running_http_task host{single_service_settings({target.port()})};
        constexpr std::size_t held_max = http::answer_buffer_max;
        check_sizes(host.port(), how, size, {0, 1, held_max, held_max + 1, 3 * held_max});
    }
}

// Short of memory, a host forwards answers in smaller pieces.
TEST(forwarded_answers, a_last_chunk_stands_there_while_the_host_is_short_of_memory)
{
    for (const framing how : all_framings) {
        std::atomic<std::size_t> size = 0;
        fake_upstream target{
            [&](script_connection& connection, int) { answer_all(connection, how, size); }};
        settings::settings config = single_service_settings({target.port()});
        config.listen_.body_memory_mb_ = 2;
        running_http_task host{config};
        std::vector<std::unique_ptr<test_client>> idle; // each takes some memory
        for (int spare = 15; idle.size() < 900 && spare > 0;
             spare -= is_short_of_memory(host) ? 1 : 0) {
            idle.push_back(std::make_unique<test_client>(host.port()));
            for (int i = 0; i < 2000 && host.callers() < idle.size(); ++i) {
                std::this_thread::sleep_for(1ms);
            }
        }
        CHECK(is_short_of_memory(host));
        check_sizes(host.port(), how, size,
                    {0, 1, short_of_memory_max, short_of_memory_max + 1, 3 * short_of_memory_max});
        CHECK(is_short_of_memory(host));
    }
}

// An answer without content ends with its head, also if a field says that it is chunked.
TEST(forwarded_answers, a_304_is_followed_by_a_last_chunk)
{
    fake_upstream target{[](script_connection& connection, int) {
        for (std::string request = connection.read_request(); !request.empty();
             request = connection.read_request()) {
            connection.send(request.find(" /first ") == std::string::npos
                                ? ok_answer("second")
                                : "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
    }};
    running_http_task host{single_service_settings({target.port()})};
    test_client caller{host.port()};
    caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string bytes = caller.read_to_end();
    CHECK(take_answer(bytes, false).has_value());
    CHECK(take_answer(bytes) == "second");
    LONGS_EQUAL(0, bytes.size());
}

// Hosts answer each other, and the platform, with pages of their own.
TEST(forwarded_answers, the_content_of_a_page_follows_its_head_alone)
{
    scripted_store store;
    settings::settings config = directory_settings(store.port());
    config.directory_->feed_ = settings::directory_feed{{"127.0.0.1", 0}, {}, 30ms, {}};
    running_routed_host host{config};
    test_client reader{host.feed_port()};
    reader.send("HEAD /directory HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    reader.send("GET /directory HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string bytes = reader.read_to_end();
    const auto head_only = take_answer(bytes, false);
    const auto page = take_answer(bytes);
    CHECK(head_only && page && !page->empty());
    LONGS_EQUAL(0, bytes.size());
}
