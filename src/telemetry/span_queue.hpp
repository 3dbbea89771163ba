#pragma once

// Finished spans on their way to the exporter. Bounded: a full queue drops the new span and counts
// it, so that no call ever waits.

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

    // Adds a span. From any thread.
    void push(span finished);

    // Removes up to `count` spans, the oldest first.
    std::vector<span> take(std::size_t count);

private:
    const std::size_t capacity_;
    prometheus::Counter& dropped_;
    std::mutex mutex_;
    std::vector<span> spans_;
};

} // namespace savoryscale::telemetry
