#include "common/histogram.hpp"
#include "common/load_run.hpp"
#include "common/upstream_farm.hpp"
#include "common/verdict.hpp"

#include <thread>

// After the others: it replaces operator new by a macro.
#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::standins;

namespace {

load_totals with_commit(std::uint32_t attempts, std::uint32_t not_run, bool acknowledged)
{
    load_totals totals;
    totals.commits_["c"] = {attempts, not_run, acknowledged};
    return totals;
}

// Sends `calls` lookups straight to one target that behaves as `traits` say.
load_totals run_against(const behaviour& traits, std::uint64_t calls)
{
    boost::asio::io_context far_side;
    upstream_farm farm{far_side, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, traits, 3};
    farm.start();
    load_settings settings;
    settings.hosts_ = {farm.at(0).address()};
    settings.rate_ = 0;
    settings.concurrency_ = 2;
    settings.calls_ = calls;
    settings.weights_ = {1, 0, 0, 0};
    std::thread thread{[&far_side] { far_side.run(); }};
    boost::asio::io_context io;
    load_run load{io, settings};
    const load_totals totals = load.run();
    far_side.stop();
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

TEST(load, verdict_counts_runs_against_answers)
{
    LONGS_EQUAL(0, judge(with_commit(1, 0, true), {{"c", {1, 1}}}).breaches());
    LONGS_EQUAL(1, judge(with_commit(1, 0, false), {{"c", {2, 1}}}).twice_);
    LONGS_EQUAL(1, judge(with_commit(1, 1, false), {{"c", {1, 0}}}).false_not_run_);
    LONGS_EQUAL(0, judge(with_commit(2, 1, true), {{"c", {1, 1}}}).breaches());
    LONGS_EQUAL(1, judge(with_commit(1, 0, true), {}).never_ran_);
}

TEST(load, tells_good_wrong_and_broken_answers_apart)
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

TEST(load, only_a_whole_notice_of_an_idle_close_may_come_unasked)
{
    const std::string notice = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
                               "Savoryscale-Outcome: not-run\r\nConnection: close\r\n\r\n";
    CHECK(caller::is_idle_close(notice));
    CHECK(!caller::is_idle_close(notice.substr(0, notice.size() - 1)));
    CHECK(!caller::is_idle_close("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"));
    CHECK(!caller::is_idle_close("HTTP/1.1 200" + notice.substr(12)));
    CHECK(!caller::is_idle_close({}));
}
