#pragma once

// Incremental readers of HTTP/1.1 messages, stricter than the parser they are built on: what two
// parsers could read in two ways is refused (request smuggling).

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

    // Takes bytes that arrived and appends the decoded body to `body`. Bytes after the message's
    // end are kept for the next one. Faults: invalid (malformed), exhausted (header over the
    // bound).
    result<void> feed(std::string_view bytes, std::string& body);

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] const Head& head() const;

    // Whether the message has ended as its framing declares.
    [[nodiscard]] bool complete() const;

    // Whether the message ends only with the connection, so that its end cannot be verified.
    [[nodiscard]] bool ends_with_connection() const;

    // Bytes held that no complete message has accounted for.
    [[nodiscard]] std::size_t pending_bytes() const { return pending_.size(); }

    // Starts on the next message; feed("") then reads what is pending. `without_body` is set for
    // the answer to a HEAD request.
    void next(bool without_body = false);

private:
    result<void> read_head();
    result<void> read_body();

    std::uint32_t max_header_bytes_;
    std::string pending_;
    std::size_t scanned_ = 0; // bytes of pending_ already checked for bare line feeds
    std::unique_ptr<detail::message_parser<Head>> parser_;
};

extern template class message_reader<request_head>;
extern template class message_reader<answer_head>;

} // namespace savoryscale::http
