#include "telemetry/admin_task.hpp"

#include <fmt/format.h>
#include <libwebsockets.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <vector>

namespace savoryscale::telemetry {

namespace {

constexpr std::size_t chunk_bytes = 16384;
constexpr unsigned max_open_files = 64;
constexpr unsigned idle_timeout_s = 10;
constexpr auto plain_text = "text/plain; charset=utf-8";
constexpr auto prometheus_text = "text/plain; version=0.0.4; charset=utf-8";

int on_event(lws* connection, lws_callback_reasons reason, void* /*session*/, void* data,
             size_t /*length*/)
{
    lws_context* context = connection == nullptr ? nullptr : lws_get_context(connection);
    auto* task = context == nullptr ? nullptr : static_cast<admin_task*>(lws_context_user(context));
    return task == nullptr ? 0 : task->handle_event(connection, reason, data);
}

const std::array<lws_protocols, 2> protocols{
    {{"admin", on_event, 0, 0, 0, nullptr, 0}, {nullptr, nullptr, 0, 0, 0, nullptr, 0}}};

bool is_read_only(lws* connection)
{
    return lws_hdr_total_length(connection, WSI_TOKEN_GET_URI) > 0;
}

} // namespace

admin_answer answer_admin(std::string_view path, readiness state,
                          const prometheus::Registry& registry)
{
    if (path == "/metrics") {
        return {200, prometheus_text, prometheus::TextSerializer{}.Serialize(registry.Collect())};
    }
    if (path == "/live") {
        return {200, plain_text, "live\n"};
    }
    if (path == "/ready") {
        return {state == readiness::ready ? 200 : 503, plain_text,
                fmt::format("{}\n", to_string(state))};
    }
    return {404, plain_text, "unknown path; use /metrics, /ready or /live\n"};
}

result<std::unique_ptr<admin_task>> admin_task::start(const settings::endpoint& address,
                                                      const prometheus::Registry& registry,
                                                      const std::atomic<readiness>& state)
{
    std::unique_ptr<admin_task> task{new admin_task{registry, state}};
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.fd_limit_per_thread = max_open_files;
    info.user = task.get();
    lws_context* context = lws_create_context(&info);
    info.port = address.port_;
    info.iface = address.ip_.c_str();
    info.protocols = protocols.data();
    info.vhost_name = "admin";
    info.keepalive_timeout = idle_timeout_s;
    info.timeout_secs = idle_timeout_s;
    lws_vhost* listener = context == nullptr ? nullptr : lws_create_vhost(context, &info);
    if (listener == nullptr) {
        if (context != nullptr) {
            lws_context_destroy(context);
        }
        return tl::unexpected{error{error_kind::unavailable, to_string(address),
                                    "cannot bind the admin address",
                                    "set \"/admin\" to an address of this host with a free port"}};
    }
    task->port_ = static_cast<std::uint16_t>(lws_get_vhost_listen_port(listener));
    task->thread_.start(context);
    return task;
}

int admin_task::handle_event(lws* connection, int reason, const void* data)
{
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return begin_answer(connection, static_cast<const char*>(data));
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return continue_answer(connection);
    case LWS_CALLBACK_CLOSED_HTTP:
        answers_.erase(connection);
        return 0;
    default:
        return 0;
    }
}

int admin_task::begin_answer(lws* connection, std::string_view path)
{
    admin_answer answer = is_read_only(connection) ? answer_admin(path, state_, registry_)
                                                   : admin_answer{405, plain_text, "use GET\n"};
    std::array<unsigned char, LWS_PRE + 1024> buffer{};
    unsigned char* const start = buffer.data() + LWS_PRE;
    unsigned char* const end = buffer.data() + buffer.size();
    unsigned char* at = start;
    const bool written = lws_add_http_common_headers(
                             connection, static_cast<unsigned>(answer.status_),
                             answer.content_type_.c_str(), answer.body_.size(), &at, end) == 0 &&
                         lws_finalize_write_http_header(connection, start, &at, end) == 0;
    if (!written) {
        return -1;
    }
    answers_[connection] = {std::move(answer.body_), 0};
    lws_callback_on_writable(connection);
    return 0;
}

int admin_task::continue_answer(lws* connection)
{
    const auto found = answers_.find(connection);
    if (found == answers_.end()) {
        return 0;
    }
    body_in_progress& body = found->second;
    const std::size_t size = std::min(chunk_bytes, body.text_.size() - body.sent_);
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::copy_n(body.text_.data() + body.sent_, size, buffer.data() + LWS_PRE);
    body.sent_ += size;
    const bool last = body.sent_ == body.text_.size();
    const int written = lws_write(connection, buffer.data() + LWS_PRE, size,
                                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < static_cast<int>(size)) {
        return -1;
    }
    if (!last) {
        lws_callback_on_writable(connection);
        return 0;
    }
    answers_.erase(found);
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

} // namespace savoryscale::telemetry
