#include "http/message_reader.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale::http;

namespace {

constexpr std::uint32_t header_limit = 1024;

// Feeds the text in pieces of `step` bytes.
template<class Head>
std::string read_in_steps(message_reader<Head>& reader, std::string_view text, std::size_t step)
{
    std::string body;
    while (!text.empty()) {
        const auto fed = reader.feed(text.substr(0, step), body);
        CHECK_TEXT(fed.has_value(), fed ? "" : fed.error().what_.c_str());
        text.remove_prefix(std::min(step, text.size()));
    }
    return body;
}

} // namespace

TEST_GROUP(message_reader){};

TEST(message_reader, reads_the_same_message_in_pieces_of_any_size)
{
    const std::string_view text = "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        message_reader<answer_head> reader{header_limit};
        const std::string body = read_in_steps(reader, text, step);
        STRCMP_EQUAL("abcde", body.c_str());
        CHECK(reader.complete());
        CHECK(reader.head().chunked_);
        LONGS_EQUAL(2, reader.head().fields_.size());
        LONGS_EQUAL(0, reader.pending_bytes());
    }
}

TEST(message_reader, keeps_bytes_after_the_message_for_the_next_one)
{
    message_reader<request_head> reader{header_limit};
    std::string body;
    const auto first =
        reader.feed("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET /b HTTP/1.1\r\n\r\n", body);
    CHECK_TEXT(first.has_value(), first ? "" : first.error().what_.c_str());

    STRCMP_EQUAL("ok", body.c_str());
    CHECK(reader.complete());
    reader.next();
    CHECK(reader.feed("", body).has_value());
    STRCMP_EQUAL("/b", reader.head().target_.c_str());
    CHECK(reader.complete());
}

TEST(message_reader, an_answer_to_head_has_no_body)
{
    message_reader<answer_head> reader{header_limit};
    reader.next(true);
    read_in_steps(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 7);
    CHECK(reader.complete());
    LONGS_EQUAL(9, *reader.head().content_length_);
}

TEST(message_reader, an_answer_without_framing_ends_with_the_connection)
{
    message_reader<answer_head> reader{header_limit};
    read_in_steps(reader, "HTTP/1.1 200 OK\r\n\r\nabc", 100);
    CHECK(reader.ends_with_connection());
    CHECK(!reader.complete());
}

TEST(message_reader, rejects_a_header_over_the_limit)
{
    message_reader<request_head> reader{header_limit};
    std::string body;
    const auto fed = reader.feed("GET / HTTP/1.1\r\nA: " + std::string(header_limit, 'x'), body);
    CHECK(!fed.has_value());
    CHECK(fed.error().kind_ == savoryscale::error_kind::exhausted);
}

TEST(message_reader, rejects_a_status_that_does_not_exist)
{
    for (const char* status : {"000", "001", "099", "600", "999"}) {
        message_reader<answer_head> reader{header_limit};
        std::string body;
        CHECK_TEXT(!reader.feed(std::string{"HTTP/1.1 "} + status + " X\r\n\r\n", body), status);
    }
    for (const char* status : {"100", "199", "299", "599"}) {
        message_reader<answer_head> reader{header_limit};
        read_in_steps(reader, std::string{"HTTP/1.1 "} + status + " X\r\n\r\n", 3);
        CHECK_TEXT(reader.has_head(), status);
    }
}

TEST(message_reader, rejects_content_after_a_status_that_has_none)
{
    for (const char* head :
         {"100 X\r\nContent-Length: 1\r\n\r\n", "103 X\r\nTransfer-Encoding: chunked\r\n\r\n",
          "204 X\r\nContent-Length: 1\r\n\r\n", "204 X\r\nTransfer-Encoding: chunked\r\n\r\n",
          "101 X\r\nUpgrade: other\r\n\r\n"}) {
        message_reader<answer_head> reader{header_limit};
        std::string body;
        CHECK_TEXT(!reader.feed(std::string{"HTTP/1.1 "} + head, body), head);
    }
    // The length is that of the answer to another request (RFC 9110, 8.6).
    for (const char* head :
         {"204 X\r\nContent-Length: 0\r\n\r\n", "304 X\r\nContent-Length: 9\r\n\r\n"}) {
        message_reader<answer_head> reader{header_limit};
        read_in_steps(reader, std::string{"HTTP/1.1 "} + head, 3);
        CHECK_TEXT(reader.complete(), head);
    }
}

// Load: uploads and trailers that come in large reads, on many connections that stay open.
TEST(message_reader, keeps_no_room_of_large_reads)
{
    constexpr std::size_t room_max = 8192;
    const std::string large(65536, 'x');
    std::string body;
    message_reader<request_head> upload{header_limit};
    CHECK(upload.feed("POST /a HTTP/1.1\r\nContent-Length: 131072\r\n\r\n" + large, body)
              .has_value());
    CHECK(upload.feed(large, body).has_value());
    CHECK(upload.complete());
    CHECK(upload.held_bytes() <= room_max);

    message_reader<request_head> trailers{header_limit};
    CHECK(trailers.feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", body)
              .has_value());
    CHECK(!trailers.feed("a: " + large, body).has_value());
    CHECK(trailers.held_bytes() <= room_max);
}

TEST(message_reader, a_head_counts_by_its_memory_and_can_be_taken_away)
{
    constexpr std::size_t fields = 200;
    std::string text = "GET /a HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        text += "a:\r\n";
    }
    std::string body;
    message_reader<request_head> reader{header_limit};
    CHECK(reader.feed(text + "\r\n", body).has_value());
    const request_head head = reader.take_head();
    LONGS_EQUAL(fields, head.fields_.size());
    CHECK(held_bytes(head) >= fields * sizeof(header_field));
    CHECK(reader.head().fields_.empty());
}
