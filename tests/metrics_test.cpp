#include "telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;

TEST_GROUP(metrics)
{
    prometheus::Registry registry_;
    telemetry::metrics metrics_ = telemetry::register_metrics(registry_);

    std::string text() const
    {
        return prometheus::TextSerializer{}.Serialize(registry_.Collect());
    }
};

TEST(metrics, each_value_has_its_own_labels)
{
    metrics_.requests_[telemetry::request_end::caller_left].Increment();
    metrics_.attempts_[routing::attempt_end::abandoned].Increment(2);
    metrics_.refusals_[admission::refusal::overload].Increment(3);
    metrics_.peer_bytes_[telemetry::direction::received].Increment(4);
    metrics_.target_connections_[telemetry::connection_event::retired].Increment(5);
    metrics_.store_call(store::operation::watch, store::call_status::unavailable).Increment(6);
    const std::string seen = text();
    for (const char* line :
         {"savoryscale_requests_total{end=\"caller_left\"} 1",
          "savoryscale_attempts_total{end=\"abandoned\"} 2",
          "savoryscale_admission_refusals_total{reason=\"overload\"} 3",
          "savoryscale_peer_bytes_total{direction=\"received\"} 4",
          "savoryscale_target_connections_total{event=\"retired\"} 5",
          "savoryscale_store_calls_total{operation=\"watch\",status=\"unavailable\"} 6"}) {
        STRCMP_CONTAINS(line, seen.c_str());
    }
}

TEST(metrics, duration_buckets_are_in_seconds)
{
    metrics_.request_duration_.Observe(0.0018);
    STRCMP_CONTAINS("savoryscale_request_duration_seconds_bucket{le=\"0.0015\"} 0", text().c_str());
    STRCMP_CONTAINS("savoryscale_request_duration_seconds_bucket{le=\"0.002\"} 1", text().c_str());
}
