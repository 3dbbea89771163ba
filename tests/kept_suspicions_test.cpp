// Suspicions in the store: who writes, how often, and when writing fails. In virtual time, over
// hosts that share one object for each request.

#include "admission/kept_suspicions.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::admission;
using namespace std::chrono_literals;

namespace {

peer::fact suspicion(fingerprint request, const std::string& crashes)
{
    quarantine known;
    peer::fact named = suspicion_of(known, request);
    named.payload_ = crashes;
    named.version_ = version_of(named);
    return named;
}

struct host {
    quarantine known_;
    kept_suspicions kept_;
};

// Lone hosts that all follow the store's suspicions.
struct fleet {
    std::vector<host> hosts_;
    time_point now_ = time_point{} + 100s;
    random_source random_{5};
    std::map<fingerprint, peer::fact> stored_{};
    std::map<fingerprint, std::uint64_t> revisions_{}; // of what is stored
    std::uint64_t revision_ = 10;
    std::size_t calls_ = 0;
    bool reads_ = true;

    void crash(std::size_t which, fingerprint request, const std::string& target)
    {
        on_request_sent(hosts_[which].known_, request, target, now_);
        on_target_crashed(hosts_[which].known_, target, now_);
        on_suspicion_changed(hosts_[which].kept_,
                             shared_suspicion_of(hosts_[which].known_, request, now_), true, now_);
    }

    // What is due at each host is written and read by all others.
    void run_for(duration time)
    {
        for (const time_point end = now_ + time; now_ < end; now_ += 50ms) {
            for (host& writer : hosts_) {
                const kept_suspicion* due = next_write(writer.kept_, keeper_role::lone, now_);
                if (due == nullptr) {
                    continue;
                }
                ++calls_;
                write(writer, *due, *writer.kept_.writing_);
            }
        }
    }

    void write(host& writer, const kept_suspicion& due, fingerprint request)
    {
        const write_call call = call_for(due);
        const bool exists = stored_.count(request) > 0;
        if (call == write_call::read) {
            on_write_ended(writer.kept_, write_end::read, now_, random_);
            read(writer, request);
            return;
        }
        if (exists != (call == write_call::replace) ||
            (exists && revisions_[request] != due.stored_revision_)) {
            on_write_ended(writer.kept_, write_end::conflict, now_, random_);
            return;
        }
        stored_[request] = due.fact_;
        revisions_[request] = ++revision_;
        on_write_ended(writer.kept_, write_end::written, now_, random_);
        if (!reads_) {
            return;
        }
        for (host& reader : hosts_) {
            read(reader, request);
        }
    }

    void read(host& reader, fingerprint request)
    {
        on_kept_read(reader.kept_, request, stored_[request].version_, revisions_[request]);
        if (merge(reader.known_, stored_[request], now_).value()) {
            on_suspicion_changed(reader.kept_, shared_suspicion_of(reader.known_, request, now_),
                                 false, now_);
        }
    }
};

} // namespace

TEST_GROUP(kept_suspicions)
{
    kept_suspicions kept;
    time_point now = time_point{} + 100s;
    random_source random{3};
};

TEST(kept_suspicions, lone_hosts_hear_of_each_others_crashes_with_a_write_a_crash)
{
    for (const std::size_t size : {13, 311, 1000}) {
        fleet all{std::vector<host>(size)};
        all.run_for(2s);
        LONGS_EQUAL(0, all.calls_);
        all.crash(0, 7, "a");
        all.run_for(1s);
        all.crash(size - 1, 7, "b");
        all.run_for(1s);
        for (const host& each : all.hosts_) {
            CHECK(is_quarantined(each.known_, 7, all.now_));
        }
        LONGS_EQUAL(2, all.calls_);
    }
}

// Neither host knows of the other's crash when it writes.
TEST(kept_suspicions, crashes_written_at_the_same_moment_are_both_kept)
{
    fleet all{std::vector<host>(311)};
    for (std::size_t which = 0; which < 3; ++which) {
        all.crash(which, 7, std::string(1 + which, 'a'));
    }
    all.run_for(5s);
    LONGS_EQUAL(3, all.stored_[7].version_);
    for (const host& each : all.hosts_) {
        CHECK(is_quarantined(each.known_, 7, all.now_));
    }
    CHECK(all.calls_ <= 9);
}

// Hosts that hear neither of each other nor of what is stored, as hosts of the feed do that are cut
// off from each other.
TEST(kept_suspicions, a_host_that_knows_fewer_crashes_overwrites_none)
{
    fleet all{std::vector<host>(2)};
    all.reads_ = false;
    all.crash(0, 7, "a");
    all.run_for(2s);
    for (const char* target : {"b", "c", "d"}) {
        all.crash(1, 7, target);
    }
    all.run_for(2s);
    all.crash(0, 7, "e");
    all.run_for(2s);
    LONGS_EQUAL(5, all.stored_[7].version_);
}

// Another host of the feed has written ten of eleven suspicions.
TEST(kept_suspicions, conflicts_with_a_host_that_was_first_delay_no_other_write)
{
    for (fingerprint request = 1; request <= 11; ++request) {
        on_suspicion_changed(kept, suspicion(request, "a#1,b#1"), true, now);
    }
    bool written = false;
    for (const time_point until = now + 1s; now < until; now += 10ms) {
        if (next_write(kept, keeper_role::feed, now) == nullptr) {
            continue;
        }
        const fingerprint request = *kept.writing_;
        written = request == 11;
        on_write_ended(kept, written ? write_end::written : write_end::conflict, now, random);
        on_kept_read(kept, request, 2, 40 + request);
    }
    CHECK(written);
}

// A data centre's targets crash at once, with one request of each host in flight.
TEST(kept_suspicions, each_of_many_hosts_writes_once_a_second_at_most)
{
    for (const std::size_t size : {13, 311, 1000}) {
        fleet all{std::vector<host>(size)};
        all.reads_ = false;
        for (std::size_t i = 0; i < 4 * size; ++i) {
            all.crash(i % size, 100 + i, "t" + std::to_string(i % 22));
        }
        all.run_for(950ms);
        CHECK(all.calls_ <= size);
    }
}

TEST(kept_suspicions, a_host_of_the_feed_writes_what_concerns_all_hosts)
{
    on_suspicion_changed(kept, suspicion(1, "a#1"), true, now);
    CHECK(next_write(kept, keeper_role::feed, now) == nullptr);
    CHECK(next_write(kept, keeper_role::none, now) == nullptr);
    on_suspicion_changed(kept, suspicion(1, "a#1,b#1"), false, now);
    CHECK(next_write(kept, keeper_role::none, now) == nullptr);
    CHECK(next_write(kept, keeper_role::lone, now) != nullptr); // it saw one of them
}

// Such as one whose time is over, or that another writer has made.
TEST(kept_suspicions, an_object_that_names_no_crash_is_replaced)
{
    on_kept_read(kept, 1, 0, 40);
    on_suspicion_changed(kept, suspicion(1, "a#1"), true, now);
    const kept_suspicion* due = next_write(kept, keeper_role::lone, now);
    CHECK(due != nullptr);
    CHECK(call_for(*due) == write_call::replace);
}

TEST(kept_suspicions, a_cleared_suspicion_replaces_the_one_in_the_store)
{
    on_kept_read(kept, 1, 2, 40);
    on_suspicion_changed(kept, suspicion(1, "a#1,b#1"), true, now);
    CHECK(next_write(kept, keeper_role::feed, now) == nullptr);
    on_suspicion_changed(kept, suspicion(1, "a#1!,b#1!"), true, now);
    const kept_suspicion* due = next_write(kept, keeper_role::feed, now);
    CHECK(due != nullptr);
    LONGS_EQUAL(2, due->stored_version_);
    CHECK(call_for(*due) == write_call::replace);
}

TEST(kept_suspicions, a_store_that_takes_no_writes_is_asked_a_few_times)
{
    for (const write_end end : {write_end::failed, write_end::conflict, write_end::gone}) {
        kept = {};
        on_suspicion_changed(kept, suspicion(1, "a#1,b#1"), true, now);
        std::uint32_t calls = 0;
        for (const time_point until = now + 60s; now < until; now += 10ms) {
            if (next_write(kept, keeper_role::feed, now) != nullptr) {
                ++calls;
                on_write_ended(kept, end, now, random);
            }
        }
        CHECK(calls <= kept_tries_max);
    }
}

// A store that was away for long must not be taken for one that has the suspicion.
TEST(kept_suspicions, a_suspicion_that_was_not_written_is_tried_again_until_it_expires)
{
    on_suspicion_changed(kept, suspicion(1, "a#1,b#1"), true, now);
    const auto calls_until = [&](time_point until, write_end end) {
        std::uint32_t calls = 0;
        for (; now < until; now += 10ms) {
            if (next_write(kept, keeper_role::feed, now) != nullptr) {
                ++calls;
                on_write_ended(kept, end, now, random);
            }
        }
        return calls;
    };
    calls_until(now + 30s, write_end::failed);
    LONGS_EQUAL(1, calls_until(now + 120s, write_end::written));
    LONGS_EQUAL(0, calls_until(now + 600s, write_end::written));
}

TEST(kept_suspicions, memory_is_bounded)
{
    for (fingerprint request = 1; request < 4 * kept_suspicions_max; ++request) {
        on_suspicion_changed(kept, suspicion(request, "a#1,b#1"), true, now);
        on_kept_read(kept, 10000 + request, 2, 40);
    }
    CHECK(kept.entries_.size() <= kept_suspicions_max);
    on_suspicion_changed(kept, {peer::fact_kind::suspicion, "not hexadecimal", 0, "a#1", 9}, true,
                         now);
}
