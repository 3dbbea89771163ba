#include "store/http_client.hpp"

#include "base/mailbox.hpp"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <map>
#include <thread>
#include <utility>
#include <vector>

namespace savoryscale::store {

namespace {

// Bytes of body per write to libwebsockets and per read from it.
constexpr std::size_t body_chunk_bytes = 16384;

// The connection is closed when the body of an answer exceeds this.
constexpr std::size_t max_answer_bytes = 16U << 20U;

// Limit on file descriptors, hence on open connections; requests beyond it end as not_sent.
constexpr unsigned max_open_files = 128;

// One request in progress and its answer.
struct http_exchange {
    lws_sorted_usec_list_t deadline_{}; // first member: on_deadline casts its address
    void* owner_ = nullptr;             // the task
    std::uint64_t id_ = 0;
    http_request request_;
    lws* connection_ = nullptr;
    bool sent_ = false; // the request header may have been sent
    std::size_t written_ = 0;
    http_answer answer_;
};

} // namespace

class http_client::task {
public:
    task();
    ~task();
    task(const task&) = delete;
    task& operator=(const task&) = delete;
    task(task&&) = delete;
    task& operator=(task&&) = delete;

    void submit(http_request request) { inbox_.post(std::move(request)); }

private:
    static int on_event(lws* connection, lws_callback_reasons reason, void* user, void* in,
                        std::size_t length);
    static void on_deadline(lws_sorted_usec_list_t* entry);

    void run();
    void start(http_request request);
    void finish(http_exchange& exchange, http_outcome outcome);
    int on_exchange_event(http_exchange& exchange, lws_callback_reasons reason, void* in,
                          std::size_t length);
    int append_header(http_exchange& exchange, void* in, std::size_t length) const;
    int write_body(http_exchange& exchange) const;
    int read_body(http_exchange& exchange) const;

    std::atomic<bool> stopping_ = false;
    lws_context* context_ = nullptr;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::unique_ptr<http_exchange>> exchanges_;
    mailbox<http_request> inbox_;
    std::thread thread_;
};

http_client::task::task()
{
    static const std::array<lws_protocols, 2> protocols{
        lws_protocols{"http", &task::on_event, 0, 0, 0, nullptr, 0}, lws_protocols{}};
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.gid = -1;
    info.uid = -1;
    info.fd_limit_per_thread = max_open_files;
    info.user = this;
    context_ = lws_create_context(&info);
    inbox_.set_wake([this] { lws_cancel_service(context_); });
    thread_ = std::thread{[this] { run(); }};
}

http_client::task::~task()
{
    stopping_ = true;
    lws_cancel_service(context_);
    thread_.join();
    lws_context_destroy(context_);
}

void http_client::task::run()
{
    while (!stopping_) {
        for (http_request& request : inbox_.take()) {
            start(std::move(request));
        }
        lws_service(context_, 0);
    }
    while (!exchanges_.empty()) {
        http_exchange& exchange = *exchanges_.begin()->second;
        finish(exchange, exchange.sent_ ? http_outcome::unknown : http_outcome::not_sent);
    }
    for (http_request& request : inbox_.take()) {
        request.done_({http_outcome::not_sent, 0, {}});
    }
}

void http_client::task::start(http_request request)
{
    const std::uint64_t id = next_id_++;
    http_exchange& exchange = *(exchanges_[id] = std::make_unique<http_exchange>());
    exchange.owner_ = this;
    exchange.id_ = id;
    exchange.request_ = std::move(request);
    const auto timeout =
        std::chrono::duration_cast<std::chrono::microseconds>(exchange.request_.timeout_);
    lws_sul_schedule(context_, 0, &exchange.deadline_, &task::on_deadline, timeout.count());

    lws_client_connect_info info{};
    info.context = context_;
    info.address = exchange.request_.destination_.ip_.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = exchange.request_.destination_.port_;
    info.path = exchange.request_.path_.c_str();
    info.method = exchange.request_.method_.c_str();
    info.alpn = "http/1.1";
    info.protocol = "http";
    info.opaque_user_data = &exchange;
    lws* const connection = lws_client_connect_via_info(&info);
    // The exchange may have ended and been destroyed inside lws_client_connect_via_info.
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    if (connection == nullptr) {
        finish(exchange, http_outcome::not_sent);
        return;
    }
    exchange.connection_ = connection;
}

void http_client::task::finish(http_exchange& exchange, http_outcome outcome)
{
    lws_sul_cancel(&exchange.deadline_);
    if (exchange.connection_ != nullptr) {
        lws_set_opaque_user_data(exchange.connection_, nullptr);
    }
    exchange.answer_.outcome_ = outcome;
    const auto owned = std::move(exchanges_.extract(exchange.id_).mapped());
    owned->request_.done_(std::move(owned->answer_));
}

void http_client::task::on_deadline(lws_sorted_usec_list_t* entry)
{
    auto& exchange = *reinterpret_cast<http_exchange*>(entry);
    lws* const connection = exchange.connection_;
    static_cast<task*>(exchange.owner_)
        ->finish(exchange, exchange.sent_ ? http_outcome::unknown : http_outcome::not_sent);
    if (connection != nullptr) {
        lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

int http_client::task::on_event(lws* connection, lws_callback_reasons reason, void* /*user*/,
                                void* in, std::size_t length)
{
    auto* const exchange = connection == nullptr
                               ? nullptr
                               : static_cast<http_exchange*>(lws_get_opaque_user_data(connection));
    if (exchange == nullptr) {
        // The exchange has ended: close the connection instead of using it further.
        const bool data = reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP ||
                          reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
                          reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                          reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE;
        return data ? -1 : 0;
    }
    exchange->connection_ = connection;
    return static_cast<task*>(exchange->owner_)->on_exchange_event(*exchange, reason, in, length);
}

int http_client::task::on_exchange_event(http_exchange& exchange, lws_callback_reasons reason,
                                         void* in, std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        exchange.sent_ = true;
        return append_header(exchange, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(exchange);
    case LWS_CALLBACK_CLIENT_HTTP_REDIRECT:
        return 1; // following a redirect would send the request again
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        exchange.answer_.status_ =
            static_cast<int>(lws_http_client_http_response(exchange.connection_));
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_body(exchange);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        exchange.answer_.body_.append(static_cast<const char*>(in), length);
        return exchange.answer_.body_.size() > max_answer_bytes ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        finish(exchange, http_outcome::answered);
        return -1; // closes the connection: each request has its own
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        finish(exchange, exchange.sent_ ? http_outcome::unknown : http_outcome::not_sent);
        return 0;
    default:
        return 0;
    }
}

int http_client::task::append_header(http_exchange& exchange, void* in, std::size_t length) const
{
    const std::string& body = exchange.request_.body_;
    if (body.empty()) {
        return 0;
    }
    auto** const at = static_cast<unsigned char**>(in);
    unsigned char* const end = *at + length;
    const std::string size = std::to_string(body.size());
    const std::string_view type = "application/json";
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<const unsigned char*>(text.data());
    };
    if (lws_add_http_header_by_token(exchange.connection_, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     bytes(size), static_cast<int>(size.size()), at, end) != 0 ||
        lws_add_http_header_by_token(exchange.connection_, WSI_TOKEN_HTTP_CONTENT_TYPE, bytes(type),
                                     static_cast<int>(type.size()), at, end) != 0) {
        return -1;
    }
    lws_client_http_body_pending(exchange.connection_, 1);
    lws_callback_on_writable(exchange.connection_);
    return 0;
}

int http_client::task::write_body(http_exchange& exchange) const
{
    const std::string& body = exchange.request_.body_;
    const std::size_t count = std::min(body_chunk_bytes, body.size() - exchange.written_);
    if (count == 0) {
        return 0;
    }
    std::vector<unsigned char> buffer(LWS_PRE + count);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + exchange.written_, count);
    exchange.written_ += count;
    const bool last = exchange.written_ == body.size();
    if (lws_write(exchange.connection_, buffer.data() + LWS_PRE, count,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    if (last) {
        lws_client_http_body_pending(exchange.connection_, 0);
    }
    else {
        lws_callback_on_writable(exchange.connection_);
    }
    return 0;
}

int http_client::task::read_body(http_exchange& exchange) const
{
    std::array<char, LWS_PRE + body_chunk_bytes> buffer{};
    char* at = buffer.data() + LWS_PRE;
    int count = static_cast<int>(body_chunk_bytes);
    return lws_http_client_read(exchange.connection_, &at, &count) < 0 ? -1 : 0;
}

http_client::http_client() : task_{std::make_unique<task>()} {}

http_client::~http_client() = default;

void http_client::submit(http_request request)
{
    task_->submit(std::move(request));
}

} // namespace savoryscale::store
