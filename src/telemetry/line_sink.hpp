#pragma once

// Writes log lines to a descriptor from the thread that logs, without ever waiting for the reader.
// What the reader does not take in time is dropped, counted, and told in a line of its own.

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryscale::telemetry {

struct line_sink_options {
    std::uint32_t lines_per_second_ = 500; // also the burst
    std::size_t queue_max_bytes_ = 262144;
};

class line_sink {
public:
    line_sink(int descriptor, const line_sink_options& options)
        : descriptor_{descriptor}, options_{options}, tokens_(options.lines_per_second_)
    {
    }

    // Queues one line without its end. Lines that may be dropped for their number are told apart
    // from those that are few by nature.
    void append(std::string_view line, bool bounded, time_point now);

    // Writes as much as the reader takes.
    void flush();

    // Lines dropped since the last call.
    std::uint64_t take_dropped();

    [[nodiscard]] std::size_t queued() const { return queue_.size() - written_; }

private:
    bool take_token(time_point now);

    int descriptor_;
    line_sink_options options_;
    double tokens_;
    time_point filled_{};
    std::string queue_;
    std::size_t written_ = 0; // bytes of queue_ that the reader has taken
    std::uint64_t dropped_ = 0;
};

} // namespace savoryscale::telemetry
