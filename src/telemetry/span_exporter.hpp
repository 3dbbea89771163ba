#pragma once

// Exports spans to a collector in batches, as OTLP/JSON over HTTP. A batch that the collector does
// not accept in time is dropped and counted, and never blocks a request.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "settings/settings.hpp"
#include "telemetry/lws_thread.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/otlp.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

struct lws;
struct lws_context;
struct lws_vhost;

namespace savoryscale::telemetry {

class span_queue;

// Batch size and timing of the exporter.
struct export_options {
    std::size_t batch_spans_ = 512;
    duration poll_interval_ = std::chrono::milliseconds{500}; // between checks of an empty queue
    duration timeout_ = std::chrono::seconds{3};       // for one batch, including the connection
    duration failure_delay_ = std::chrono::seconds{5}; // after a batch that was not accepted
};

// Owns its thread and its connection. Sends one batch at a time.
class span_exporter {
public:
    // Starts to export the spans of the queue. The queue and the metrics must outlive the exporter.
    static result<std::unique_ptr<span_exporter>> start(const settings::endpoint& collector,
                                                        trace_source source, span_queue& queue,
                                                        const metrics& counters,
                                                        export_options options = {});
    ~span_exporter();
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;
    span_exporter(span_exporter&&) = delete;
    span_exporter& operator=(span_exporter&&) = delete;

    // Handles one libwebsockets event; called on the exporter's thread.
    int handle_event(lws* connection, int reason, void* data, std::size_t length);

private:
    struct timer;

    span_exporter(const settings::endpoint& collector, trace_source source, span_queue& queue,
                  const metrics& counters, export_options options);

    void schedule(duration delay);
    void begin_batch();
    int append_header(lws* connection, void* data, std::size_t length) const;
    int write_body(lws* connection);
    void end_batch(bool accepted);

    const settings::endpoint collector_;
    const trace_source source_;
    const export_options options_;
    span_queue& queue_;
    const metrics& counters_;
    std::unique_ptr<timer> timer_;
    lws_context* context_ = nullptr;
    lws_vhost* vhost_ = nullptr;
    lws* connection_ = nullptr; // of the batch in progress
    std::string body_;          // of the batch in progress; empty if there is none
    std::size_t body_sent_ = 0;
    std::size_t body_span_count_ = 0;
    bool accepted_ = false; // the collector answered with a 2xx status
    lws_thread thread_;     // declared last: its thread uses the members above
};

} // namespace savoryscale::telemetry
