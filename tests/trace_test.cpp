#include "common/span_store.hpp"
#include "telemetry/span_exporter.hpp"
#include "telemetry/span_queue.hpp"
#include "telemetry/trace.hpp"
#include "telemetry/trace_context.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace std::chrono_literals;
using telemetry::parse_traceparent;

namespace {

const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_GROUP(traceparent){};

TEST(traceparent, valid_header_survives_parse_and_format)
{
    const auto parsed = parse_traceparent(valid);
    CHECK(parsed.has_value());
    CHECK(parsed->sampled_);
    STRCMP_EQUAL(valid.c_str(), telemetry::format_traceparent(*parsed).c_str());
    CHECK(!parse_traceparent(valid.substr(0, 53) + "fe")->sampled_);
    CHECK(parse_traceparent("01" + valid.substr(2) + "-more").has_value());
}

TEST(traceparent, malformed_headers_are_rejected)
{
    for (const std::string& header :
         {std::string{}, valid.substr(0, 54), valid + "-more", valid + "0", "ff" + valid.substr(2),
          "01" + valid.substr(2) + "more", "0G" + valid.substr(2),
          std::string{"00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
          std::string{"00-00000000000000000000000000000000-b7ad6b7169203331-01"},
          std::string{"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"},
          std::string{"00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}) {
        CHECK_TEXT(!parse_traceparent(header), header.c_str());
    }
}

TEST_GROUP(call_trace)
{
    random_source random_{7};
    const time_point start_{1s};

    telemetry::call_trace begin(std::string_view header, double ratio)
    {
        return telemetry::begin_trace(header, ratio, random_, start_, 5'000'000'000);
    }
};

TEST(call_trace, the_sampling_decision_of_the_caller_is_kept)
{
    const auto continued = begin(valid, 0);
    CHECK(continued.sampled_);
    STRCMP_EQUAL("0af7651916cd43dd8448eb211c80319c", telemetry::to_hex(continued.trace_).c_str());
    STRCMP_EQUAL("b7ad6b7169203331", telemetry::to_hex(continued.caller_span_).c_str());
    CHECK(!begin(valid.substr(0, 53) + "00", 1).sampled_);
}

TEST(call_trace, new_traces_are_sampled_at_the_ratio)
{
    int sampled = 0;
    for (int i = 0; i < 10000; ++i) {
        sampled += begin("", 0.1).sampled_ ? 1 : 0;
    }
    CHECK(sampled > 900 && sampled < 1100);
    CHECK(!begin("", 0).sampled_);
    CHECK(begin("malformed", 1).sampled_);
}

TEST(call_trace, spans_are_linked_and_have_wall_clock_times)
{
    const auto call = begin(valid, 0);
    const auto id = telemetry::make_span_id(random_);
    const auto root = telemetry::root_span(call, "request", start_ + 9ms);
    const auto attempt = telemetry::child_span(call, "attempt", telemetry::span_kind::client, id,
                                               start_ + 1ms, start_ + 3ms);
    CHECK(root.parent_ == call.caller_span_);
    CHECK(attempt.parent_ == root.id_);
    CHECK(attempt.trace_ == root.trace_);
    LONGS_EQUAL(5'009'000'000, root.end_ns_);
    LONGS_EQUAL(5'001'000'000, attempt.start_ns_);
    const auto sent = parse_traceparent(telemetry::outgoing_traceparent(call, id));
    CHECK(sent->parent_ == id && sent->trace_ == call.trace_);
}

TEST_GROUP(span_export)
{
    prometheus::Registry registry_;
    telemetry::metrics metrics_ = telemetry::register_metrics(registry_);
    telemetry::span_queue queue_{100, metrics_.spans_dropped_};
    boost::asio::io_context io_;

    void push(std::size_t count)
    {
        random_source random{1};
        const auto call = telemetry::begin_trace(valid, 1, random, time_point{}, 1);
        for (std::size_t i = 0; i < count; ++i) {
            auto span = telemetry::root_span(call, "request", time_point{});
            span.attributes_.emplace_back("filler", std::string(1000, '\xff'));
            queue_.push(std::move(span));
        }
    }

    // Exports the queued spans to a collector that answers with `handler`, until `counter` reaches
    // `count`.
    void run_until(const prometheus::Counter& counter, double count,
                   const standins::json_server::handler& handler)
    {
        using boost::asio::ip::tcp;
        const standins::json_server server{
            io_, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}, handler};
        const settings::endpoint collector{"127.0.0.1", server.address().port()};
        const telemetry::export_options options{30, 1ms, 200ms, 1ms};
        const auto exporter = telemetry::span_exporter::start(
            collector, {"host", "centre", "region"}, queue_, metrics_, options);
        CHECK(exporter.has_value());
        for (int i = 0; i < 1000 && counter.Value() < count; ++i) {
            io_.run_for(5ms);
        }
    }
};

TEST(span_export, full_queue_drops_and_counts)
{
    push(103);
    DOUBLES_EQUAL(3, metrics_.spans_dropped_.Value(), 0);
    LONGS_EQUAL(60, queue_.take(60).size());
    LONGS_EQUAL(40, queue_.take(60).size());
    LONGS_EQUAL(0, queue_.take(60).size());
}

TEST(span_export, collector_gets_every_span_once)
{
    standins::span_store store;
    push(100);
    run_until(metrics_.spans_exported_, 100,
              [&](const standins::control_request& request) { return store.handle(request); });
    DOUBLES_EQUAL(100, metrics_.spans_exported_.Value(), 0);
    const auto counts = nlohmann::json::parse(store.handle({"GET", "/counts", ""}).body_);
    LONGS_EQUAL(100, counts["spans"]["request"].get<int>());
    LONGS_EQUAL(1, counts["traces"].get<int>());
    DOUBLES_EQUAL(0, metrics_.spans_dropped_.Value(), 0);
}

TEST(span_export, rejected_batches_are_counted_as_dropped)
{
    push(70);
    run_until(metrics_.spans_dropped_, 70, [](const standins::control_request&) {
        return standins::control_reply{503, "{}"};
    });
    DOUBLES_EQUAL(70, metrics_.spans_dropped_.Value(), 0);
    DOUBLES_EQUAL(0, metrics_.spans_exported_.Value(), 0);
}

TEST(span_export, unresponsive_collector_times_out)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor silent{io_, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    push(30);
    const settings::endpoint collector{"127.0.0.1", silent.local_endpoint().port()};
    const auto exporter =
        telemetry::span_exporter::start(collector, {}, queue_, metrics_, {30, 1ms, 20ms, 1ms});
    for (int i = 0; i < 1000 && metrics_.spans_dropped_.Value() < 30; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    DOUBLES_EQUAL(30, metrics_.spans_dropped_.Value(), 0);
}

TEST(span_export, spans_are_dropped_if_no_collector_listens)
{
    push(30);
    const auto exporter = telemetry::span_exporter::start({"127.0.0.1", 1}, {}, queue_, metrics_,
                                                          {30, 1ms, 200ms, 1ms});
    for (int i = 0; i < 1000 && metrics_.spans_dropped_.Value() < 30; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    DOUBLES_EQUAL(30, metrics_.spans_dropped_.Value(), 0);
}
