#pragma once

// Writes log lines to a file descriptor on the logging thread, without ever blocking on the reader.
// Lines for which the reader is too slow are dropped and counted; flush_log logs the count.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

struct line_sink_options {
    std::uint32_t lines_per_second_ = 500; // also the size of the token bucket
    std::size_t queue_max_bytes_ = 262144;
};

class line_sink {
public:
    line_sink(int descriptor, const line_sink_options& options)
        : descriptor_{descriptor}, options_{options}, tokens_(options.lines_per_second_)
    {
    }

    // Queues one line, given without its line feed. `rate_limited` lines are dropped beyond
    // lines_per_second_; the others are rare, and dropped only when the queue is full.
    void append(std::string_view line, bool rate_limited, time_point now);

    // Writes as much as the descriptor accepts without blocking.
    void flush();

    // Returns the number of lines dropped since the last call.
    std::uint64_t take_dropped();

    [[nodiscard]] std::size_t queued_bytes() const { return queue_.size() - written_; }

private:
    bool take_token(time_point now);

    int descriptor_;
    line_sink_options options_;
    double tokens_;
    time_point refilled_at_{};
    std::string queue_;
    std::size_t written_ = 0; // bytes of queue_ that have been written
    std::uint64_t dropped_ = 0;
};

} // namespace savoryscale::telemetry
