#include "telemetry/span_exporter.hpp"

#include "telemetry/span_queue.hpp"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace savoryscale::telemetry {

namespace {

constexpr std::size_t chunk_bytes = 16384;
constexpr unsigned max_open_files = 16;
constexpr unsigned library_timeout_s = 60; // longer than export_options::timeout_, which decides
constexpr auto protocol_name = "otlp";
constexpr auto export_path = "/v1/traces";

int on_event(lws* connection, lws_callback_reasons reason, void* /*session*/, void* data,
             size_t length)
{
    lws_context* context = connection == nullptr ? nullptr : lws_get_context(connection);
    auto* task =
        context == nullptr ? nullptr : static_cast<span_exporter*>(lws_context_user(context));
    return task == nullptr ? 0 : task->handle_event(connection, reason, data, length);
}

const std::array<lws_protocols, 2> protocols{
    {{protocol_name, on_event, 0, 0, 0, nullptr, 0}, {nullptr, nullptr, 0, 0, 0, nullptr, 0}}};

lws_usec_t microseconds_of(duration span)
{
    return std::chrono::ceil<std::chrono::microseconds>(span).count();
}

// Reads and discards the received part of an answer's body.
int discard_answer_body(lws* connection)
{
    std::array<char, LWS_PRE + 1024> buffer{};
    char* start = buffer.data() + LWS_PRE;
    int size = static_cast<int>(buffer.size() - LWS_PRE);
    return lws_http_client_read(connection, &start, &size) < 0 ? -1 : 0;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

// A libwebsockets timer. entry_ must be the first member: the callback casts its address.
struct span_exporter::timer {
    lws_sorted_usec_list_t entry_{};
    span_exporter* owner_ = nullptr;
};

span_exporter::span_exporter(const settings::endpoint& collector, trace_source source,
                             span_queue& queue, const metrics& counters, export_options options)
    : collector_{collector},
      source_{std::move(source)},
      options_{options},
      queue_{queue},
      counters_{counters},
      timer_{std::make_unique<timer>()}
{
    timer_->owner_ = this;
}

span_exporter::~span_exporter() = default;

result<std::unique_ptr<span_exporter>> span_exporter::start(const settings::endpoint& collector,
                                                            trace_source source, span_queue& queue,
                                                            const metrics& counters,
                                                            export_options options)
{
    std::unique_ptr<span_exporter> task{
        new span_exporter{collector, std::move(source), queue, counters, options}};
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.vhost_name = protocol_name;
    info.fd_limit_per_thread = max_open_files;
    info.timeout_secs = library_timeout_s;
    info.user = task.get();
    task->context_ = lws_create_context(&info);
    if (task->context_ != nullptr) {
        task->vhost_ = lws_create_vhost(task->context_, &info);
    }
    if (task->vhost_ == nullptr) {
        if (task->context_ != nullptr) {
            lws_context_destroy(task->context_);
        }
        return tl::unexpected{error{error_kind::internal, "span exporter",
                                    "cannot create its event loop",
                                    "raise the limit on open files (ulimit -n)"}};
    }
    task->thread_.start(task->context_,
                        [raw = task.get()] { raw->schedule(raw->options_.poll_interval_); });
    return task;
}

void span_exporter::schedule(duration delay)
{
    const auto run = [](lws_sorted_usec_list_t* entry) {
        reinterpret_cast<timer*>(entry)->owner_->begin_batch();
    };
    lws_sul_schedule(context_, 0, &timer_->entry_, run,
                     std::max<lws_usec_t>(microseconds_of(delay), 1));
}

void span_exporter::begin_batch()
{
    const std::vector<span> spans = queue_.take(options_.batch_spans_);
    if (spans.empty()) {
        schedule(options_.poll_interval_);
        return;
    }
    body_ = print_otlp(source_, spans);
    body_sent_ = 0;
    body_span_count_ = spans.size();
    accepted_ = false;
    const std::string host = to_string(collector_);
    lws_client_connect_info info{};
    info.context = context_;
    info.vhost = vhost_;
    info.address = collector_.ip_.c_str();
    info.port = collector_.port_;
    info.path = export_path;
    info.host = host.c_str();
    info.method = "POST";
    info.protocol = protocol_name;
    info.local_protocol_name = protocol_name;
    info.pwsi = &connection_;
    if (lws_client_connect_via_info(&info) != nullptr) {
        lws_set_timer_usecs(connection_, microseconds_of(options_.timeout_));
    }
    else {
        end_batch(false);
    }
}

int span_exporter::handle_event(lws* connection, int reason, void* data, std::size_t length)
{
    if (connection != connection_) {
        return 0; // belongs to a batch that has already ended
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return append_header(connection, data, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(connection);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        accepted_ = is_success(lws_http_client_http_response(connection));
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return discard_answer_body(connection);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        end_batch(accepted_);
        return -1;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        end_batch(false);
        return 0;
    case LWS_CALLBACK_TIMER: // the batch has timed out
        return -1;
    default:
        return 0;
    }
}

int span_exporter::append_header(lws* connection, void* data, std::size_t length) const
{
    auto** at = static_cast<unsigned char**>(data);
    unsigned char* const end = *at + length;
    constexpr std::string_view type = "application/json";
    const auto* type_bytes = reinterpret_cast<const unsigned char*>(type.data());
    const bool added =
        lws_add_http_header_by_token(connection, WSI_TOKEN_HTTP_CONTENT_TYPE, type_bytes,
                                     static_cast<int>(type.size()), at, end) == 0 &&
        lws_add_http_header_content_length(connection, body_.size(), at, end) == 0;
    if (!added) {
        return -1;
    }
    lws_client_http_body_pending(connection, 1);
    lws_callback_on_writable(connection);
    return 0;
}

int span_exporter::write_body(lws* connection)
{
    const std::size_t size = std::min(chunk_bytes, body_.size() - body_sent_);
    if (size == 0) {
        return 0;
    }
    std::vector<unsigned char> buffer(LWS_PRE + size);
    std::copy_n(body_.data() + body_sent_, size, buffer.data() + LWS_PRE);
    body_sent_ += size;
    const bool last = body_sent_ == body_.size();
    const int written = lws_write(connection, buffer.data() + LWS_PRE, size,
                                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < static_cast<int>(size)) {
        return -1;
    }
    if (last) {
        lws_client_http_body_pending(connection, 0);
    }
    else {
        lws_callback_on_writable(connection);
    }
    return 0;
}

void span_exporter::end_batch(bool accepted)
{
    if (body_.empty()) {
        return; // libwebsockets reports some failures twice
    }
    connection_ = nullptr;
    body_.clear();
    const auto spans = static_cast<double>(body_span_count_);
    (accepted ? counters_.spans_exported_ : counters_.spans_dropped_).Increment(spans);
    schedule(accepted ? duration::zero() : options_.failure_delay_);
}

} // namespace savoryscale::telemetry
