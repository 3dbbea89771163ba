#include "support/http_get.hpp"
#include "telemetry/admin_task.hpp"

#include <prometheus/counter.h>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using telemetry::readiness;

TEST_GROUP(admin)
{
    prometheus::Registry registry_;
    std::atomic<readiness> state_ = readiness::starting;
};

TEST(admin, ready_depends_on_the_readiness_and_live_does_not)
{
    const auto task = telemetry::admin_task::start({"127.0.0.1", 0}, registry_, state_);
    CHECK(task.has_value());
    const std::uint16_t port = (*task)->port();
    STRCMP_CONTAINS("HTTP/1.1 503", test::http_get(port, "/ready").c_str());
    STRCMP_CONTAINS("\r\n\r\nstarting\n", test::http_get(port, "/ready").c_str());
    state_ = readiness::ready;
    STRCMP_CONTAINS("HTTP/1.1 200", test::http_get(port, "/ready").c_str());
    state_ = readiness::stopping;
    STRCMP_CONTAINS("HTTP/1.1 503", test::http_get(port, "/ready").c_str());
    STRCMP_CONTAINS("\r\n\r\nstopping\n", test::http_get(port, "/ready").c_str());
    STRCMP_CONTAINS("HTTP/1.1 200", test::http_get(port, "/live").c_str());
    STRCMP_CONTAINS("HTTP/1.1 404", test::http_get(port, "/other").c_str());
    STRCMP_CONTAINS("HTTP/1.1 405", test::exchange(port, "DELETE /live HTTP/1.1\r\nHost: t\r\n"
                                                         "Connection: close\r\n\r\n")
                                        .c_str());
}

TEST(admin, metrics_longer_than_one_chunk_are_sent_completely)
{
    auto& family = prometheus::BuildCounter().Name("filler_total").Register(registry_);
    for (int i = 0; i < 3000; ++i) {
        family.Add({{"n", std::to_string(i)}});
    }
    const auto task = telemetry::admin_task::start({"127.0.0.1", 0}, registry_, state_);
    CHECK(task.has_value());
    const std::string answer = test::http_get((*task)->port(), "/metrics");
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    const std::string expected =
        telemetry::answer_admin("/metrics", readiness::ready, registry_).body_;
    LONGS_EQUAL(expected.size(), body.size());
}

TEST(admin, start_fails_if_the_address_is_in_use)
{
    const auto first = telemetry::admin_task::start({"127.0.0.1", 0}, registry_, state_);
    const auto second =
        telemetry::admin_task::start({"127.0.0.1", (*first)->port()}, registry_, state_);
    CHECK(!second);
    CHECK(second.error().kind_ == error_kind::unavailable);
}
