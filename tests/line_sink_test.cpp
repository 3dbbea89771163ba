// The line sink with a reader that stops reading, and with more lines than the rate limit allows.

#include "telemetry/line_sink.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <string>
#include <unistd.h>

using namespace savoryscale;
using namespace std::chrono_literals;

TEST_GROUP(line_sink)
{
    std::array<int, 2> ends{};
    time_point now = time_point{} + 10s;

    void setup() override
    {
        LONGS_EQUAL(0, ::pipe(ends.data()));
    }
    void teardown() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read_some()
    {
        std::array<char, 65536> buffer{};
        const auto length = ::read(ends[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(length)};
    }
};

TEST(line_sink, flush_writes_complete_lines)
{
    telemetry::line_sink sink{ends[1], {}};
    sink.append("{\"a\":1}", false, now);
    sink.append("{\"b\":2}", true, now);
    sink.flush();
    STRCMP_EQUAL("{\"a\":1}\n{\"b\":2}\n", read_some().c_str());
    LONGS_EQUAL(0, sink.queued_bytes());
}

// Nothing is read from the pipe: the pipe and then the queue fill up, and further lines are dropped
// and counted.
TEST(line_sink, drops_lines_instead_of_blocking_on_a_stalled_reader)
{
    telemetry::line_sink_options options;
    options.queue_max_bytes_ = 50000;
    telemetry::line_sink sink{ends[1], options};
    const std::string line(999, 'x');
    for (int i = 0; i < 500; ++i) {
        sink.append(line, false, now);
        sink.flush();
    }
    CHECK(sink.queued_bytes() <= options.queue_max_bytes_);
    const std::uint64_t dropped = sink.take_dropped();
    CHECK(dropped > 300);
    LONGS_EQUAL(0, sink.take_dropped());
    const std::string first = read_some();
    CHECK(first.starts_with(line + "\n"));
    sink.flush();
    CHECK(sink.queued_bytes() < options.queue_max_bytes_);
}

TEST(line_sink, only_decision_lines_are_rate_limited)
{
    telemetry::line_sink_options options;
    options.lines_per_second_ = 100;
    telemetry::line_sink sink{ends[1], options};
    for (int i = 0; i < 1000; ++i) {
        sink.append("d", true, now);
        sink.append("s", false, now);
    }
    LONGS_EQUAL(900, sink.take_dropped());
    now += 1s;
    for (int i = 0; i < 1000; ++i) {
        sink.append("d", true, now);
    }
    LONGS_EQUAL(900, sink.take_dropped());
}
