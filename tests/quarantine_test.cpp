#include "admission/quarantine.hpp"
#include "admission/recent_runs.hpp"
#include "admission/target_name.hpp"
#include "peer/suspicion_wire.hpp"
#include "support/odd_names.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fingerprint crashing_request = 1;
constexpr fingerprint harmless_request = 2;

} // namespace

TEST_GROUP(quarantine)
{
    quarantine first_host_;
    quarantine second_host_;
    time_point now_{seconds{1000}};

    void crash_target(quarantine & host, fingerprint request, std::string_view target)
    {
        on_request_sent(host, request, target, now_);
        now_ += milliseconds{1};
        on_target_crashed(host, target, now_);
        on_request_ended(host, request, target, false);
        now_ += milliseconds{1};
    }
};

TEST(quarantine, a_fingerprint_depends_on_every_part)
{
    const request_identity base{"GET", "/a", "acme", "k", 5};
    const request_identity others[] = {
        {"PUT", "/a", "acme", "k", 5}, {"GET", "/b", "acme", "k", 5},
        {"GET", "/a", "acmf", "k", 5}, {"GET", "/a", "acme", "l", 5},
        {"GET", "/a", "acme", "k", 6}, {"GET", "/aa", "cme", "k", 5}};
    CHECK_EQUAL(fingerprint_of(base), fingerprint_of(base));
    for (const auto& other : others) {
        CHECK(fingerprint_of(base) != fingerprint_of(other));
    }
}

TEST(quarantine, content_is_the_same_with_another_caller_or_key)
{
    const request_identity base{"GET", "/a", "acme", "k", 5};
    CHECK_EQUAL(content_fingerprint_of(base),
                content_fingerprint_of({"GET", "/a", "acme", "other", 5}));
    CHECK(content_fingerprint_of(base) != content_fingerprint_of({"GET", "/b", "acme", "k", 5}));
    CHECK(content_fingerprint_of(base) != content_fingerprint_of({"GET", "/a", "acme", "k", 6}));
    CHECK(content_fingerprint_of(base) != content_fingerprint_of({"GET", "/a", "other", "k", 5}));
    CHECK(content_fingerprint_of(base) != fingerprint_of({"GET", "/a", "acme", "", 5}));
}

TEST(quarantine, content_is_refused_after_three_crashes_and_for_minutes_after_four)
{
    const auto crash = [&](std::string_view target) {
        on_request_sent(first_host_, crashing_request, target, now_, suspect_scope::content);
        on_target_crashed(first_host_, target, now_);
    };
    first_host_.content_delay_ = seconds{5};
    crash("a");
    on_request_sent(first_host_, crashing_request, "b", now_, suspect_scope::content);
    CHECK_FALSE(
        is_quarantined(first_host_, crashing_request, now_)); // beside a run of another caller
    on_target_crashed(first_host_, "b", now_);
    CHECK_FALSE(is_quarantined(first_host_, crashing_request, now_));
    CHECK_FALSE(concerns_all_hosts(suspicion_of(first_host_, crashing_request)));
    crash("c");
    CHECK(concerns_all_hosts(suspicion_of(first_host_, crashing_request)));
    CHECK(is_quarantined(first_host_, crashing_request, now_ + seconds{12}));
    now_ += seconds{13};
    CHECK_FALSE(is_quarantined(first_host_, crashing_request, now_));
    on_request_sent(first_host_, crashing_request, "d", now_, suspect_scope::content);
    CHECK(is_quarantined(first_host_, crashing_request, now_)); // one run at a time
    on_target_crashed(first_host_, "d", now_);
    CHECK(is_quarantined(first_host_, crashing_request, now_ + refusal_lifetime - seconds{1}));
}

TEST(quarantine, other_hosts_know_that_a_suspicion_is_of_content)
{
    for (const char* target : {"a", "b"}) {
        on_request_sent(first_host_, crashing_request, target, now_, suspect_scope::content);
        on_target_crashed(first_host_, target, now_);
    }
    CHECK(merge(second_host_, suspicion_of(first_host_, crashing_request), now_).value());
    CHECK(is_suspect(second_host_, crashing_request, now_));
    CHECK_FALSE(is_quarantined(second_host_, crashing_request, now_));
}

TEST(quarantine, a_recent_run_clears_a_suspicion_and_an_old_one_does_not)
{
    recent_runs runs;
    on_run_completed(runs, harmless_request, now_);
    crash_target(first_host_, harmless_request, "a");
    CHECK_FALSE(
        clear_if_run_recently(first_host_, runs, harmless_request, now_ + recent_run_lifetime));
    CHECK_FALSE(clear_if_run_recently(first_host_, runs, crashing_request, now_));
    CHECK(clear_if_run_recently(first_host_, runs, harmless_request, now_));
    CHECK_FALSE(is_suspect(first_host_, harmless_request, now_));
    CHECK_FALSE(clear_if_run_recently(first_host_, runs, harmless_request, now_));
}

TEST(quarantine, refused_after_two_crashes_and_allowed_again_later)
{
    crash_target(first_host_, crashing_request, "a");
    CHECK_FALSE(is_quarantined(first_host_, crashing_request, now_));
    crash_target(first_host_, crashing_request, "b");
    CHECK(is_quarantined(first_host_, crashing_request, now_));
    CHECK_FALSE(is_quarantined(first_host_, crashing_request, now_ + refusal_lifetime));
}

TEST(quarantine, a_second_crash_of_the_same_target_counts)
{
    crash_target(first_host_, crashing_request, "a");
    crash_target(first_host_, crashing_request, "a");
    CHECK(is_quarantined(first_host_, crashing_request, now_));
}

TEST(quarantine, a_suspect_runs_once_at_a_time_and_not_beside_other_suspects)
{
    on_request_sent(first_host_, harmless_request, "a", now_);
    crash_target(first_host_, crashing_request, "a");
    on_request_ended(first_host_, harmless_request, "a", false);
    on_request_sent(first_host_, crashing_request, "b", now_);
    CHECK(is_quarantined(first_host_, crashing_request, now_));
    CHECK_FALSE(is_quarantined(first_host_, harmless_request, now_));
    CHECK(runs_other_suspect(first_host_, harmless_request, "b", now_));
    CHECK_FALSE(runs_other_suspect(first_host_, crashing_request, "b", now_));
    CHECK_FALSE(runs_other_suspect(first_host_, harmless_request, "c", now_));
}

TEST(quarantine, a_harmless_request_is_cleared_by_a_completed_run)
{
    for (int time = 0; time < 5; ++time) {
        on_request_sent(first_host_, harmless_request, "a", now_);
        crash_target(first_host_, crashing_request, "a");
        on_request_ended(first_host_, harmless_request, "a", false);
        CHECK_FALSE(is_quarantined(first_host_, harmless_request, now_));
        on_request_sent(first_host_, harmless_request, "b", now_);
        CHECK(on_request_ended(first_host_, harmless_request, "b", true));
    }
    CHECK(is_quarantined(first_host_, crashing_request, now_));
}

TEST(quarantine, a_resend_through_another_host_crashes_no_third_target)
{
    crash_target(first_host_, crashing_request, "a");
    CHECK(merge(second_host_, suspicion_of(first_host_, crashing_request), now_).value());
    crash_target(second_host_, crashing_request, "b");
    CHECK(is_quarantined(second_host_, crashing_request, now_));
    CHECK(merge(first_host_, suspicion_of(second_host_, crashing_request), now_).value());
    CHECK(is_quarantined(first_host_, crashing_request, now_));
    CHECK_FALSE(merge(first_host_, suspicion_of(second_host_, crashing_request), now_).value());
}

TEST(quarantine, two_hosts_that_saw_one_crash_count_it_once)
{
    on_request_sent(second_host_, crashing_request, "a", now_);
    crash_target(first_host_, crashing_request, "a");
    on_target_crashed(second_host_, "a", now_);
    CHECK_FALSE(merge(second_host_, suspicion_of(first_host_, crashing_request), now_).value());
    CHECK_FALSE(is_quarantined(second_host_, crashing_request, now_));
}

// A target starts again under its id and crashes again, each time with another host's request
// (review, case 4).
TEST(quarantine, crashes_of_two_lifetimes_under_one_id_count_as_two)
{
    const auto crash = [&](quarantine& at, std::uint64_t born_ms) {
        on_request_sent(at, crashing_request, "a/1", now_);
        on_target_crashed(at, "a/1", now_, shared_target_name("10.0.0.1:80", "i-1", born_ms));
    };
    crash(first_host_, 1'700'000'000'000);
    crash(second_host_, 1'700'000'002'000);
    CHECK(merge(second_host_, suspicion_of(first_host_, crashing_request), now_).value());
    CHECK(is_quarantined(second_host_, crashing_request, now_));
}

TEST(quarantine, a_cleared_suspicion_reaches_the_peers_and_overrides_an_older_one)
{
    crash_target(first_host_, harmless_request, "a");
    const auto old = suspicion_of(first_host_, harmless_request);
    merge(second_host_, old, now_);
    on_request_sent(second_host_, harmless_request, "b", now_);
    CHECK(on_request_ended(second_host_, harmless_request, "b", true));
    CHECK(merge(first_host_, suspicion_of(second_host_, harmless_request), now_).value());
    merge(first_host_, old, now_);
    crash_target(first_host_, harmless_request, "c");
    CHECK_FALSE(is_quarantined(first_host_, harmless_request, now_));
}

TEST(quarantine, a_request_cleared_many_times_is_still_refused_after_two_crashes)
{
    for (int time = 0; time < 40; ++time) {
        crash_target(first_host_, crashing_request, "a" + std::to_string(time));
        on_request_sent(first_host_, crashing_request, "b", now_);
        CHECK(on_request_ended(first_host_, crashing_request, "b", true));
    }
    crash_target(first_host_, crashing_request, "c");
    crash_target(first_host_, crashing_request, "d");
    CHECK(is_quarantined(first_host_, crashing_request, now_));
}

TEST(quarantine, memory_is_bounded)
{
    for (fingerprint request = 0; request < 2 * suspects_max; ++request) {
        on_request_sent(first_host_, request, "a", now_);
    }
    on_target_crashed(first_host_, "a", now_);
    LONGS_EQUAL(suspects_max, first_host_.suspects_.size());
    CHECK(first_host_.running_.empty());
}

// Hosts pass the names of crashes on in a request line, and the store's ones may be of any writer.
TEST(quarantine, a_name_from_the_store_ends_the_request_that_passes_it_on)
{
    for (const std::string& odd : testing::odd_names()) {
        const peer::fact stored{peer::fact_kind::suspicion, name_of(7), 0, odd + "#1,b#1", 60};
        const std::string path = peer::write_suspicions_path(std::vector{stored});
        const auto read = peer::read_suspicions_path(path);
        const bool survives =
            read && read->size() == 1 && read->front().payload_ == stored.payload_;
        const bool is_one_line = std::all_of(path.begin(), path.end(), [](unsigned char each) {
            return each > ' ' && each < '\x7f';
        });
        CHECK_TEXT(!is_valid(stored) || (survives && is_one_line), odd.substr(0, 60).c_str());
    }
    CHECK(is_valid(
        {peer::fact_kind::suspicion, name_of(7), 0, "*10.0.0.1:80/0aF3#2!,[::1]:8/7#1", 60}));
}

TEST(quarantine, malformed_facts_are_errors)
{
    peer::fact message{peer::fact_kind::suspicion, "zz", 1, "a#1", 60};
    CHECK_FALSE(merge(first_host_, message, now_).has_value());
    message.subject_ = "01";
    message.payload_ = "a#1,,b#1";
    CHECK_FALSE(merge(first_host_, message, now_).has_value());
    message.payload_ = std::string(1000, 'a');
    CHECK_FALSE(merge(first_host_, message, now_).has_value());
    message.payload_ = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17";
    CHECK_FALSE(merge(first_host_, message, now_).has_value());
}
