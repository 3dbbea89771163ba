#include "http/message_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <fmt/format.h>

#include <limits>
#include <type_traits>
#include <utility>

namespace savoryscale::http {

namespace beast = boost::beast;

namespace detail {

// Statuses that no answer has, or none that is expected: hosts ask for no other protocol.
inline bool is_invalid_status(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    constexpr int switching_protocols = 101;
    return status < first || status > last || status == switching_protocols;
}

// Whether answers with the status end after their head and must not announce content (RFC 9112, 6.1
// and 6.2). A sender that announces some may send it, where the next answer is expected.
inline bool forbids_content(int status)
{
    constexpr int first_final = 200;
    constexpr int no_content = 204;
    return status < first_final || status == no_content;
}

// Stores the output of the Boost.Beast parser in a Head and a body string.
template<class Head>
class message_parser : public beast::http::basic_parser<std::is_same_v<Head, request_head>> {
public:
    static constexpr bool is_request = std::is_same_v<Head, request_head>;
    using base = beast::http::basic_parser<is_request>;

    explicit message_parser(std::uint32_t max_header_bytes)
    {
        this->eager(true);
        this->header_limit(max_header_bytes);
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    Head head_;
    std::string* body_ = nullptr; // receives decoded body bytes during put()
    bool head_done_ = false;

private:
    using error_code = beast::error_code;
    using string_view = beast::string_view;

    void on_request_impl(beast::http::verb /*verb*/, string_view method, string_view target,
                         int version, error_code& /*ec*/) override
    {
        if constexpr (is_request) {
            head_.method_.assign(method.data(), method.size());
            head_.target_.assign(target.data(), target.size());
            head_.version_ = static_cast<unsigned>(version);
        }
    }

    void on_response_impl(int code, string_view reason, int version, error_code& ec) override
    {
        if constexpr (!is_request) {
            if (is_invalid_status(code)) {
                ec = beast::http::error::bad_status;
                return;
            }
            head_.status_ = code;
            head_.reason_.assign(reason.data(), reason.size());
            head_.version_ = static_cast<unsigned>(version);
        }
    }

    void on_field_impl(beast::http::field name, string_view name_text, string_view value,
                       error_code& ec) override
    {
        if (head_done_) {
            return; // trailers are not forwarded
        }
        if (name == beast::http::field::content_length) {
            if (++content_lengths_ > 1) {
                ec = beast::http::error::bad_content_length;
                return;
            }
        }
        if (name == beast::http::field::transfer_encoding) {
            const std::string_view coding{value.data(), value.size()};
            if (++transfer_encodings_ > 1 || !equal_ignoring_case(coding, "chunked")) {
                ec = beast::http::error::bad_transfer_encoding;
                return;
            }
        }
        head_.fields_.push_back({std::string{name_text.data(), name_text.size()},
                                 std::string{value.data(), value.size()}});
    }

    void on_header_impl(error_code& ec) override
    {
        head_.chunked_ = this->chunked();
        head_.keep_alive_ = this->keep_alive();
        if (this->content_length()) {
            head_.content_length_ = *this->content_length();
        }
        if constexpr (!is_request) {
            if (forbids_content(head_.status_) &&
                (transfer_encodings_ > 0 || head_.content_length_.value_or(0) > 0)) {
                ec = beast::http::error::unexpected_body;
                return;
            }
        }
        head_done_ = true;
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& /*ec*/) override
    {
    }

    std::size_t on_body_impl(string_view bytes, error_code& /*ec*/) override
    {
        body_->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              error_code& /*ec*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                   error_code& /*ec*/) override
    {
        body_->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code& /*ec*/) override {}

    int content_lengths_ = 0;
    int transfer_encodings_ = 0;
};

} // namespace detail

namespace {

constexpr std::string_view end_of_head = "\r\n\r\n";

// Room that an empty buffer keeps, enough for most heads.
constexpr std::size_t kept_bytes = 4096;

error malformed(std::string what)
{
    return error{error_kind::invalid, "HTTP message", std::move(what),
                 "send one well-formed HTTP/1.1 message at a time"};
}

// Checks that each line of the head ends in CR LF, that no line is folded, and that there are no
// NUL bytes. `before` is the byte that precedes `text`.
result<void> check_line_ends(std::string_view text, char before)
{
    char previous = before;
    for (const char letter : text) {
        if (letter == '\n' && previous != '\r') {
            return tl::unexpected(malformed("bare line feed in the header"));
        }
        if (previous == '\r' && letter != '\n') {
            return tl::unexpected(malformed("bare carriage return in the header"));
        }
        if (previous == '\n' && (letter == ' ' || letter == '\t')) {
            return tl::unexpected(malformed("folded header line"));
        }
        if (letter == '\0') {
            return tl::unexpected(malformed("NUL byte in the header"));
        }
        previous = letter;
    }
    return {};
}

} // namespace

template<class Head>
message_reader<Head>::message_reader(std::uint32_t max_header_bytes)
    : max_header_bytes_{max_header_bytes},
      parser_{std::make_unique<detail::message_parser<Head>>(max_header_bytes)}
{
}

template<class Head>
message_reader<Head>::~message_reader() = default;
template<class Head>
message_reader<Head>::message_reader(message_reader&&) noexcept = default;
template<class Head>
message_reader<Head>& message_reader<Head>::operator=(message_reader&&) noexcept = default;

template<class Head>
result<void> message_reader<Head>::feed(std::string_view bytes, std::string& body)
{
    if (complete()) {
        pending_.append(bytes);
        return {};
    }
    parser_->body_ = &body;
    const bool in_place = has_head() && pending_.empty();
    if (!in_place) {
        pending_.append(bytes);
    }
    if (!has_head()) {
        auto read = read_head();
        if (!read) {
            std::string{}.swap(pending_); // an assignment would keep the room
        }
        if (!read || !has_head()) {
            return read;
        }
    }
    const auto used = read_body(in_place ? bytes : std::string_view{pending_});
    if (!used) {
        std::string{}.swap(pending_); // an assignment would keep the room
        return tl::unexpected(used.error());
    }
    const std::size_t left = (in_place ? bytes.size() : pending_.size()) - *used;
    if (!complete() && left > max_header_bytes_) {
        std::string{}.swap(pending_); // an assignment would keep the room
        return tl::unexpected(malformed("chunk header or trailer too long"));
    }
    if (in_place) {
        pending_.append(bytes.substr(*used));
    }
    else {
        pending_.erase(0, *used);
    }
    release_spare_memory();
    return {};
}

// Large reads are rare; a connection does not keep their room.
template<class Head>
void message_reader<Head>::release_spare_memory()
{
    if (pending_.capacity() > kept_bytes && pending_.size() < pending_.capacity() / 2) {
        pending_.shrink_to_fit();
    }
}

// Parses the head when it has been received completely.
template<class Head>
result<void> message_reader<Head>::read_head()
{
    const std::string_view text{pending_};
    const std::size_t from =
        checked_bytes_ < end_of_head.size() ? 0 : checked_bytes_ - end_of_head.size();
    const std::size_t end = text.find(end_of_head, from);
    const std::size_t head_bytes =
        end == std::string_view::npos ? text.size() : end + end_of_head.size();
    if (head_bytes > max_header_bytes_) {
        return tl::unexpected(error{error_kind::exhausted, "HTTP message",
                                    fmt::format("header over {} bytes", max_header_bytes_),
                                    "send a smaller header or raise max_header_bytes"});
    }
    const char before = checked_bytes_ == 0 ? '\0' : text[checked_bytes_ - 1];
    if (auto checked =
            check_line_ends(text.substr(checked_bytes_, head_bytes - checked_bytes_), before);
        !checked) {
        return checked;
    }
    checked_bytes_ = head_bytes;
    if (end == std::string_view::npos) {
        return {};
    }
    if (text.substr(0, 2) == "\r\n") {
        return tl::unexpected(malformed("empty line before the message"));
    }
    beast::error_code ec;
    const std::size_t used = parser_->put(boost::asio::const_buffer{text.data(), head_bytes}, ec);
    pending_.erase(0, used);
    if (ec && ec != beast::http::error::need_more) {
        return tl::unexpected(malformed(ec.message()));
    }
    if (!has_head()) {
        return tl::unexpected(malformed("header ends early"));
    }
    return {};
}

// Decodes the part of the body that has been received. Returns the number of bytes decoded.
template<class Head>
result<std::size_t> message_reader<Head>::read_body(std::string_view text)
{
    std::size_t used = 0;
    while (!parser_->is_done() && used < text.size()) {
        beast::error_code ec;
        const std::size_t taken =
            parser_->put(boost::asio::const_buffer{text.data() + used, text.size() - used}, ec);
        used += taken;
        if (ec == beast::http::error::need_more) {
            break;
        }
        if (ec) {
            return tl::unexpected(malformed(ec.message()));
        }
        if (taken == 0) {
            break;
        }
    }
    return used;
}

template<class Head>
bool message_reader<Head>::has_head() const
{
    return parser_->head_done_;
}

template<class Head>
const Head& message_reader<Head>::head() const
{
    return parser_->head_;
}

template<class Head>
Head message_reader<Head>::take_head()
{
    return std::exchange(parser_->head_, {});
}

template<class Head>
bool message_reader<Head>::complete() const
{
    return parser_->is_done();
}

template<class Head>
bool message_reader<Head>::ends_with_connection() const
{
    return has_head() && parser_->need_eof();
}

template<class Head>
void message_reader<Head>::next(bool without_body)
{
    parser_ = std::make_unique<detail::message_parser<Head>>(max_header_bytes_);
    parser_->skip(without_body);
    checked_bytes_ = 0;
}

template class message_reader<request_head>;
template class message_reader<answer_head>;

} // namespace savoryscale::http
