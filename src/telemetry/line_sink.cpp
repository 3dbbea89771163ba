#include "telemetry/line_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace savoryscale::telemetry {

namespace {

// A pipe that poll reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t write_max_bytes = 4096;

// Lines are written in batches: when this many bytes are queued, or when flush is called.
constexpr std::size_t batch_bytes = 16384;

bool is_writable(int descriptor)
{
    pollfd ready{descriptor, POLLOUT, 0};
    return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

} // namespace

bool line_sink::take_token(time_point now)
{
    const std::chrono::duration<double> passed = now - refilled_at_;
    const double capacity = options_.lines_per_second_;
    tokens_ = std::min(capacity, tokens_ + capacity * std::max(0.0, passed.count()));
    refilled_at_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void line_sink::append(std::string_view line, bool rate_limited, time_point now)
{
    const bool fits = queued_bytes() + line.size() + 1 <= options_.queue_max_bytes_;
    if (!fits || (rate_limited && !take_token(now))) {
        ++dropped_;
        return;
    }
    queue_.append(line).push_back('\n');
    if (queued_bytes() >= batch_bytes) {
        flush();
    }
}

void line_sink::flush()
{
    while (queued_bytes() > 0 && is_writable(descriptor_)) {
        const std::size_t length = std::min(queued_bytes(), write_max_bytes);
        const ssize_t taken = ::write(descriptor_, queue_.data() + written_, length);
        if (taken <= 0) {
            break;
        }
        written_ += static_cast<std::size_t>(taken);
    }
    if (written_ == queue_.size()) {
        queue_.clear();
        written_ = 0;
    }
    else if (written_ >= batch_bytes) {
        queue_.erase(0, written_);
        written_ = 0;
    }
}

std::uint64_t line_sink::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace savoryscale::telemetry
