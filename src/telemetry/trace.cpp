#include "telemetry/trace.hpp"

#include "telemetry/trace_context.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::telemetry {

namespace {

// Returns random bytes that are not all zero, since an all-zero id is invalid.
template<std::size_t size>
std::array<std::uint8_t, size> random_id(random_source& random)
{
    std::array<std::uint8_t, size> id{};
    do {
        std::generate(id.begin(), id.end(),
                      [&] { return static_cast<std::uint8_t>(random() >> 56U); });
    } while (std::all_of(id.begin(), id.end(), [](std::uint8_t byte) { return byte == 0; }));
    return id;
}

std::uint64_t wall_time_ns(const call_trace& call, time_point moment)
{
    return call.started_ns_ + static_cast<std::uint64_t>((moment - call.started_).count());
}

} // namespace

call_trace begin_trace(std::string_view traceparent, double sample_ratio, random_source& random,
                       time_point now, std::uint64_t wall_ns)
{
    call_trace call;
    call.started_ = now;
    call.started_ns_ = wall_ns;
    call.root_ = make_span_id(random);
    if (const auto caller = parse_traceparent(traceparent)) {
        call.trace_ = caller->trace_;
        call.caller_span_ = caller->parent_;
        call.sampled_ = caller->sampled_;
        return call;
    }
    call.trace_ = random_id<16>(random);
    call.sampled_ = uniform_unit(random) < sample_ratio;
    return call;
}

std::uint64_t wall_clock_ns()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(now).count());
}

span_id make_span_id(random_source& random)
{
    return random_id<8>(random);
}

std::string outgoing_traceparent(const call_trace& call, const span_id& attempt)
{
    return format_traceparent({call.trace_, attempt, call.sampled_});
}

span root_span(const call_trace& call, std::string name, time_point end)
{
    span result =
        child_span(call, std::move(name), span_kind::server, call.root_, call.started_, end);
    result.parent_ = call.caller_span_;
    return result;
}

span child_span(const call_trace& call, std::string name, span_kind kind, const span_id& id,
                time_point start, time_point end)
{
    span result;
    result.trace_ = call.trace_;
    result.id_ = id;
    result.parent_ = call.root_;
    result.name_ = std::move(name);
    result.kind_ = kind;
    result.start_ns_ = wall_time_ns(call, start);
    result.end_ns_ = wall_time_ns(call, end);
    return result;
}

} // namespace savoryscale::telemetry
