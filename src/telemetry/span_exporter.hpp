#pragma once

// Sends spans to a collector in batches, OTLP/JSON over HTTP. A batch that the collector does not
// take in time is dropped and counted; nothing waits for it.

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

// How the exporter paces itself.
struct export_pace {
    std::size_t batch_spans_ = 512;
    duration interval_ = std::chrono::milliseconds{500}; // between looks at an empty queue
    duration time_out_ = std::chrono::seconds{3};        // of one batch, connecting included
    duration failure_pause_ = std::chrono::seconds{5};   // after a batch that was not taken
};

// Owns its thread and its connection. One batch is on its way at a time.
class span_exporter {
public:
    // Starts to export what the queue gets. The queue and the metrics must outlive the exporter.
    static result<std::unique_ptr<span_exporter>> start(const settings::endpoint& collector,
                                                        trace_source source, span_queue& queue,
                                                        const metrics& counters,
                                                        export_pace pace = {});
    ~span_exporter();
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;
    span_exporter(span_exporter&&) = delete;
    span_exporter& operator=(span_exporter&&) = delete;

    // Handles one event of libwebsockets; called on the task's thread.
    int handle_event(lws* connection, int reason, void* data, std::size_t length);

private:
    struct timer;

    span_exporter(const settings::endpoint& collector, trace_source source, span_queue& queue,
                  const metrics& counters, export_pace pace);

    void schedule(duration delay);
    void begin_batch();
    int append_header(lws* connection, void* data, std::size_t length) const;
    int write_body(lws* connection);
    void end_batch(bool taken);

    const settings::endpoint collector_;
    const trace_source source_;
    const export_pace pace_;
    span_queue& queue_;
    const metrics& counters_;
    std::unique_ptr<timer> timer_;
    lws_context* context_ = nullptr;
    lws_vhost* vhost_ = nullptr;
    lws* connection_ = nullptr; // of the batch on its way
    std::string body_;          // of the batch on its way; empty: there is none
    std::size_t body_sent_ = 0;
    std::size_t body_spans_ = 0;
    bool accepted_ = false; // the collector's status was a success
    lws_thread thread_;     // last, so that it ends before what it uses
};

} // namespace savoryscale::telemetry
