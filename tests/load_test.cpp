#include "common/check_result.hpp"
#include "common/histogram.hpp"
#include "common/load_run.hpp"
#include "common/upstream_farm.hpp"

#include <thread>

// Must come last, because it replaces operator new with a macro.
#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::standins;

namespace {

load_totals totals_with_commit(std::uint32_t attempts, std::uint32_t not_run, bool acknowledged)
{
    load_totals totals;
    totals.commits_["c"] = {attempts, not_run, acknowledged};
    return totals;
}

// Sends `calls` lookups directly to one target with the behaviour `traits`.
load_totals run_against(const behaviour& traits, std::uint64_t calls)
{
    boost::asio::io_context upstream_io;
    upstream_farm farm{upstream_io, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, traits, 3};
    farm.start();
    load_settings settings;
    settings.hosts_ = {farm.at(0).address()};
    settings.rate_ = 0;
    settings.concurrency_ = 2;
    settings.calls_ = calls;
    settings.weights_ = {1, 0, 0, 0};
    std::thread thread{[&upstream_io] { upstream_io.run(); }};
    boost::asio::io_context io;
    load_run load{io, settings};
    const load_totals totals = load.run();
    upstream_io.stop();
    thread.join();
    return totals;
}

std::uint64_t count(const load_totals& totals, call_end end)
{
    return totals.attempt_ends_[static_cast<std::size_t>(end)];
}

} // namespace

TEST_GROUP(load){};

TEST(load, histogram_quantiles_are_within_two_percent)
{
    histogram values;
    for (std::uint64_t value = 1; value <= 100000; ++value) {
        values.add(value);
    }
    DOUBLES_EQUAL(50000, static_cast<double>(values.at(0.5)), 1000);
    DOUBLES_EQUAL(99000, static_cast<double>(values.at(0.99)), 1980);
    LONGS_EQUAL(100000, values.at(1));
    LONGS_EQUAL(100000, values.max());
    LONGS_EQUAL(0, histogram{}.at(0.99));
}

TEST(load, verdict_compares_runs_of_a_commit_with_its_answers)
{
    LONGS_EQUAL(0, check_totals(totals_with_commit(1, 0, true), {{"c", {1, 1}}}).violations());
    LONGS_EQUAL(1, check_totals(totals_with_commit(1, 0, false), {{"c", {2, 1}}}).twice_);
    LONGS_EQUAL(1, check_totals(totals_with_commit(1, 1, false), {{"c", {1, 0}}}).false_not_run_);
    LONGS_EQUAL(0, check_totals(totals_with_commit(2, 1, true), {{"c", {1, 1}}}).violations());
    LONGS_EQUAL(1, check_totals(totals_with_commit(1, 0, true), {}).never_ran_);
}

TEST(load, distinguishes_good_wrong_and_broken_answers)
{
    behaviour traits;
    traits.service_us_ = 50;
    traits.open_us_ = 0;
    LONGS_EQUAL(40, count(run_against(traits, 40), call_end::good));
    traits.faults_.truncate_ = 1;
    LONGS_EQUAL(10, count(run_against(traits, 10), call_end::broken));
    traits.faults_.truncate_ = 0;
    traits.faults_.twice_ = 1;
    LONGS_EQUAL(10, count(run_against(traits, 10), call_end::wrong));
}

TEST(load, only_a_complete_idle_close_notice_may_arrive_without_a_request)
{
    const std::string notice = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
                               "Savoryscale-Outcome: not-run\r\nConnection: close\r\n\r\n";
    CHECK(caller::is_idle_close(notice));
    CHECK(!caller::is_idle_close(notice.substr(0, notice.size() - 1)));
    CHECK(!caller::is_idle_close("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"));
    CHECK(!caller::is_idle_close("HTTP/1.1 200" + notice.substr(12)));
    CHECK(!caller::is_idle_close({}));
}
