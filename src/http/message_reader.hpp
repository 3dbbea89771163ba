#pragma once

// Incremental reader of HTTP/1.1 messages. It is stricter than the underlying Boost.Beast parser:
// to prevent request smuggling, it rejects messages that two parsers could interpret differently.

#include "base/error.hpp"
#include "http/head.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace savoryscale::http {

namespace detail {
template<class Head>
class message_parser;
}

// Reads one message after another from a byte stream. Head is request_head or answer_head.
template<class Head>
class message_reader {
public:
    explicit message_reader(std::uint32_t max_header_bytes);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;
    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;

    // Parses received bytes and appends the decoded body to `body`. Bytes after the end of the
    // message are kept for the next one. Errors: invalid (malformed message), exhausted (header
    // over max_header_bytes).
    result<void> feed(std::string_view bytes, std::string& body);

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] const Head& head() const;

    // Gives the head away; head() is empty from then on.
    [[nodiscard]] Head take_head();

    // Whether the message is complete according to its framing.
    [[nodiscard]] bool complete() const;

    // Whether only the end of the connection delimits the message, so that its completeness cannot
    // be verified.
    [[nodiscard]] bool ends_with_connection() const;

    // Buffered bytes that have not been parsed.
    [[nodiscard]] std::size_t pending_bytes() const { return pending_.size(); }

    // Memory for received bytes. The head is not counted; see held_bytes(head).
    [[nodiscard]] std::size_t held_bytes() const { return pending_.capacity(); }

    // Prepares for the next message; feed("") then parses the pending bytes. `without_body` is for
    // the answer to a HEAD request.
    void next(bool without_body = false);

private:
    result<void> read_head();
    result<std::size_t> read_body(std::string_view text);
    void release_spare_memory();

    std::uint32_t max_header_bytes_;
    std::string pending_;
    std::size_t checked_bytes_ = 0; // bytes of pending_ that check_line_ends has checked
    std::unique_ptr<detail::message_parser<Head>> parser_;
};

extern template class message_reader<request_head>;
extern template class message_reader<answer_head>;

} // namespace savoryscale::http
