#pragma once

// Queue of finished spans for the exporter. It is bounded: when it is full, a new span is dropped
// and counted, so that requests are never blocked.

#include "telemetry/span.hpp"

#include <prometheus/counter.h>

#include <cstddef>
#include <mutex>
#include <vector>

namespace savoryscale::telemetry {

class span_queue {
public:
    // `dropped` must outlive the queue.
    span_queue(std::size_t capacity, prometheus::Counter& dropped)
        : capacity_{capacity}, dropped_{dropped}
    {
    }

    // Adds a span. May be called from any thread.
    void push(span finished);

    // Removes and returns up to `count` spans, oldest first.
    std::vector<span> take(std::size_t count);

private:
    const std::size_t capacity_;
    prometheus::Counter& dropped_;
    std::mutex mutex_;
    std::vector<span> spans_;
};

} // namespace savoryscale::telemetry
