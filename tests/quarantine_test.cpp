#include "admission/quarantine.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr fingerprint killer = 1;
constexpr fingerprint innocent = 2;

} // namespace

TEST_GROUP(quarantine)
{
    quarantine here_;
    quarantine there_;
    time_point now_{seconds{1000}};

    void die(quarantine & host, fingerprint request, std::string_view target)
    {
        started(host, request, target, now_);
        now_ += milliseconds{1};
        target_crashed(host, target, now_);
        ended(host, request, target, false);
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

TEST(quarantine, refused_after_two_deaths_and_allowed_again_later)
{
    die(here_, killer, "a");
    CHECK_FALSE(refused(here_, killer, now_));
    die(here_, killer, "b");
    CHECK(refused(here_, killer, now_));
    CHECK_FALSE(refused(here_, killer, now_ + refusal_lifetime));
}

TEST(quarantine, the_same_target_dying_again_is_a_second_death)
{
    die(here_, killer, "a");
    die(here_, killer, "a");
    CHECK(refused(here_, killer, now_));
}

TEST(quarantine, a_suspect_runs_once_at_a_time_and_apart_from_other_suspects)
{
    started(here_, innocent, "a", now_);
    die(here_, killer, "a");
    ended(here_, innocent, "a", false);
    started(here_, killer, "b", now_);
    CHECK(refused(here_, killer, now_));
    CHECK_FALSE(refused(here_, innocent, now_));
    CHECK(runs_other_suspect(here_, innocent, "b", now_));
    CHECK_FALSE(runs_other_suspect(here_, killer, "b", now_));
    CHECK_FALSE(runs_other_suspect(here_, innocent, "c", now_));
}

TEST(quarantine, an_innocent_neighbour_recovers_by_a_finished_run)
{
    for (int time = 0; time < 5; ++time) {
        started(here_, innocent, "a", now_);
        die(here_, killer, "a");
        ended(here_, innocent, "a", false);
        CHECK_FALSE(refused(here_, innocent, now_));
        started(here_, innocent, "b", now_);
        CHECK(ended(here_, innocent, "b", true));
    }
    CHECK(refused(here_, killer, now_));
}

TEST(quarantine, a_resend_through_another_host_takes_no_third_target)
{
    die(here_, killer, "a");
    CHECK(merge(there_, suspicion_of(here_, killer), now_).value());
    die(there_, killer, "b");
    CHECK(refused(there_, killer, now_));
    CHECK(merge(here_, suspicion_of(there_, killer), now_).value());
    CHECK(refused(here_, killer, now_));
    CHECK_FALSE(merge(here_, suspicion_of(there_, killer), now_).value());
}

TEST(quarantine, two_hosts_that_saw_one_crash_count_it_once)
{
    started(there_, killer, "a", now_);
    die(here_, killer, "a");
    target_crashed(there_, "a", now_);
    CHECK_FALSE(merge(there_, suspicion_of(here_, killer), now_).value());
    CHECK_FALSE(refused(there_, killer, now_));
}

TEST(quarantine, an_acquittal_reaches_the_peers_and_outlives_an_old_suspicion)
{
    die(here_, innocent, "a");
    const auto old = suspicion_of(here_, innocent);
    merge(there_, old, now_);
    started(there_, innocent, "b", now_);
    CHECK(ended(there_, innocent, "b", true));
    CHECK(merge(here_, suspicion_of(there_, innocent), now_).value());
    merge(here_, old, now_);
    die(here_, innocent, "c");
    CHECK_FALSE(refused(here_, innocent, now_));
}

TEST(quarantine, a_request_cleared_many_times_is_still_refused_after_two_deaths)
{
    for (int time = 0; time < 40; ++time) {
        die(here_, killer, "a" + std::to_string(time));
        started(here_, killer, "b", now_);
        CHECK(ended(here_, killer, "b", true));
    }
    die(here_, killer, "c");
    die(here_, killer, "d");
    CHECK(refused(here_, killer, now_));
}

TEST(quarantine, memory_is_bounded)
{
    for (fingerprint request = 0; request < 2 * suspects_max; ++request) {
        started(here_, request, "a", now_);
    }
    target_crashed(here_, "a", now_);
    LONGS_EQUAL(suspects_max, here_.suspects_.size());
    CHECK(here_.running_.empty());
}

TEST(quarantine, malformed_facts_are_errors)
{
    peer::fact told{peer::fact_kind::suspicion, "zz", 1, "a#1", 60};
    CHECK_FALSE(merge(here_, told, now_).has_value());
    told.subject_ = "01";
    told.payload_ = "a#1,,b#1";
    CHECK_FALSE(merge(here_, told, now_).has_value());
    told.payload_ = std::string(1000, 'a');
    CHECK_FALSE(merge(here_, told, now_).has_value());
    told.payload_ = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17";
    CHECK_FALSE(merge(here_, told, now_).has_value());
}
