#include "store/http_caller.hpp"

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

// Bytes of body handed to the library at a time.
constexpr std::size_t write_bytes = 16384;

// An answer longer than this is broken off.
constexpr std::size_t max_answer_bytes = 16U << 20U;

// Connections open at once; more are not sent.
constexpr unsigned max_descriptors = 128;

// One request from its start to its end.
struct exchange {
    lws_sorted_usec_list_t deadline_{}; // first member: see on_deadline
    void* owner_ = nullptr;             // the task
    std::uint64_t id_ = 0;
    http_request request_;
    lws* connection_ = nullptr;
    bool sent_ = false; // the header may have left
    std::size_t written_ = 0;
    http_answer answer_;
};

} // namespace

class http_caller::task {
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
    void finish(exchange& call, http_end end);
    int on_call_event(exchange& call, lws_callback_reasons reason, void* in, std::size_t length);
    int append_header(exchange& call, void* in, std::size_t length) const;
    int write_body(exchange& call) const;
    int read_body(exchange& call) const;

    std::atomic<bool> stopping_ = false;
    lws_context* context_ = nullptr;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> calls_;
    mailbox<http_request> inbox_;
    std::thread thread_;
};

http_caller::task::task()
{
    static const std::array<lws_protocols, 2> protocols{
        lws_protocols{"http", &task::on_event, 0, 0, 0, nullptr, 0}, lws_protocols{}};
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.gid = -1;
    info.uid = -1;
    info.fd_limit_per_thread = max_descriptors;
    info.user = this;
    context_ = lws_create_context(&info);
    inbox_.on_post([this] { lws_cancel_service(context_); });
    thread_ = std::thread{[this] { run(); }};
}

http_caller::task::~task()
{
    stopping_ = true;
    lws_cancel_service(context_);
    thread_.join();
    lws_context_destroy(context_);
}

void http_caller::task::run()
{
    while (!stopping_) {
        for (http_request& request : inbox_.take()) {
            start(std::move(request));
        }
        lws_service(context_, 0);
    }
    while (!calls_.empty()) {
        exchange& call = *calls_.begin()->second;
        finish(call, call.sent_ ? http_end::unknown : http_end::not_sent);
    }
    for (http_request& request : inbox_.take()) {
        request.done_({http_end::not_sent, 0, {}});
    }
}

void http_caller::task::start(http_request request)
{
    const std::uint64_t id = next_id_++;
    exchange& call = *(calls_[id] = std::make_unique<exchange>());
    call.owner_ = this;
    call.id_ = id;
    call.request_ = std::move(request);
    const auto timeout =
        std::chrono::duration_cast<std::chrono::microseconds>(call.request_.timeout_);
    lws_sul_schedule(context_, 0, &call.deadline_, &task::on_deadline, timeout.count());

    lws_client_connect_info info{};
    info.context = context_;
    info.address = call.request_.to_.ip_.c_str();
    info.host = info.address;
    info.origin = info.address;
    info.port = call.request_.to_.port_;
    info.path = call.request_.path_.c_str();
    info.method = call.request_.method_.c_str();
    info.alpn = "http/1.1";
    info.protocol = "http";
    info.opaque_user_data = &call;
    lws* const connection = lws_client_connect_via_info(&info);
    // The call may have ended, and be gone, inside the library's function.
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    if (connection == nullptr) {
        finish(call, http_end::not_sent);
        return;
    }
    call.connection_ = connection;
}

void http_caller::task::finish(exchange& call, http_end end)
{
    lws_sul_cancel(&call.deadline_);
    if (call.connection_ != nullptr) {
        lws_set_opaque_user_data(call.connection_, nullptr);
    }
    call.answer_.end_ = end;
    const auto owned = std::move(calls_.extract(call.id_).mapped());
    owned->request_.done_(std::move(owned->answer_));
}

void http_caller::task::on_deadline(lws_sorted_usec_list_t* entry)
{
    auto& call = *reinterpret_cast<exchange*>(entry);
    lws* const connection = call.connection_;
    static_cast<task*>(call.owner_)
        ->finish(call, call.sent_ ? http_end::unknown : http_end::not_sent);
    if (connection != nullptr) {
        lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

int http_caller::task::on_event(lws* connection, lws_callback_reasons reason, void* /*user*/,
                                void* in, std::size_t length)
{
    auto* const call = connection == nullptr
                           ? nullptr
                           : static_cast<exchange*>(lws_get_opaque_user_data(connection));
    if (call == nullptr) {
        // Past its end, nothing on this connection is wanted.
        const bool data = reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP ||
                          reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
                          reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                          reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE;
        return data ? -1 : 0;
    }
    call->connection_ = connection;
    return static_cast<task*>(call->owner_)->on_call_event(*call, reason, in, length);
}

int http_caller::task::on_call_event(exchange& call, lws_callback_reasons reason, void* in,
                                     std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        call.sent_ = true;
        return append_header(call, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(call);
    case LWS_CALLBACK_CLIENT_HTTP_REDIRECT:
        return 1; // following one would send the request again
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        call.answer_.status_ = static_cast<int>(lws_http_client_http_response(call.connection_));
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_body(call);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        call.answer_.body_.append(static_cast<const char*>(in), length);
        return call.answer_.body_.size() > max_answer_bytes ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        finish(call, http_end::answered);
        return -1; // close: each request has a connection of its own
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        finish(call, call.sent_ ? http_end::unknown : http_end::not_sent);
        return 0;
    default:
        return 0;
    }
}

int http_caller::task::append_header(exchange& call, void* in, std::size_t length) const
{
    const std::string& body = call.request_.body_;
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
    if (lws_add_http_header_by_token(call.connection_, WSI_TOKEN_HTTP_CONTENT_LENGTH, bytes(size),
                                     static_cast<int>(size.size()), at, end) != 0 ||
        lws_add_http_header_by_token(call.connection_, WSI_TOKEN_HTTP_CONTENT_TYPE, bytes(type),
                                     static_cast<int>(type.size()), at, end) != 0) {
        return -1;
    }
    lws_client_http_body_pending(call.connection_, 1);
    lws_callback_on_writable(call.connection_);
    return 0;
}

int http_caller::task::write_body(exchange& call) const
{
    const std::string& body = call.request_.body_;
    const std::size_t count = std::min(write_bytes, body.size() - call.written_);
    if (count == 0) {
        return 0;
    }
    std::vector<unsigned char> buffer(LWS_PRE + count);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + call.written_, count);
    call.written_ += count;
    const bool last = call.written_ == body.size();
    if (lws_write(call.connection_, buffer.data() + LWS_PRE, count,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    if (last) {
        lws_client_http_body_pending(call.connection_, 0);
    }
    else {
        lws_callback_on_writable(call.connection_);
    }
    return 0;
}

int http_caller::task::read_body(exchange& call) const
{
    std::array<char, LWS_PRE + write_bytes> buffer{};
    char* at = buffer.data() + LWS_PRE;
    int count = static_cast<int>(write_bytes);
    return lws_http_client_read(call.connection_, &at, &count) < 0 ? -1 : 0;
}

http_caller::http_caller() : task_{std::make_unique<task>()} {}

http_caller::~http_caller() = default;

void http_caller::submit(http_request request)
{
    task_->submit(std::move(request));
}

} // namespace savoryscale::store
