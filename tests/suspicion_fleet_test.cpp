// Requests that crash targets, at fleets of many hosts and in virtual time: hosts that do not know
// each other and share suspicions through three hosts that serve the others.

#include "admission/quarantine.hpp"
#include "admission/recent_runs.hpp"
#include "admission/suspicion_outbox.hpp"
#include "directory/feed.hpp"
#include "peer/feed_wire.hpp"
#include "peer/suspicion_wire.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace savoryscale::admission;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t feed_hosts = 3;
constexpr time_point start = time_point{} + 1000s;

// Time until a host knows that a target has crashed, and of a message to another host.
constexpr duration crash_check_time = 12ms;
constexpr duration message_time_max = 8ms;

// What a caller waits for its answer after a crash.
constexpr duration answer_delay = 50ms;

struct host {
    quarantine known_;
    recent_runs runs_;                                 // of content
    std::map<std::size_t, suspicion_outbox> outboxes_; // by host of the feed
    directory::feed feed_;
    directory::feed_position position_; // in the feed of the host that it reads from
    std::size_t reads_from_ = 0;
    bool up_ = true;
};

// A reader whose host of the feed does not answer tries another one after this time.
constexpr duration read_timeout = 1700ms;

// Hosts, the messages between them, and targets that crash when they begin to run a killer.
struct fleet {
    explicit fleet(std::size_t size) : hosts_(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            hosts_[i].feed_.epoch_ = ++last_epoch_;
            hosts_[i].reads_from_ = i % feed_hosts;
            hosts_[i].known_.content_delay_ = content_delay_of("host-" + std::to_string(i));
            if (i >= feed_hosts) {
                at(start - 1ms, [this, i] { read(i); });
            }
        }
    }

    std::vector<host> hosts_;
    random_source random_{11};
    time_point now_ = start;
    std::multimap<time_point, std::function<void()>> events_{};
    std::function<bool(std::size_t from, std::size_t to)> reaches_ = [](auto, auto) {
        return true;
    };
    std::map<fingerprint, std::vector<time_point>> crashes_{}; // of each killer
    std::map<fingerprint, time_point> refused_since_{};        // contents that are refused now
    std::map<fingerprint, duration> longest_refusal_{};        // of each content
    std::map<std::string, time_point> down_until_{};           // targets
    std::map<std::string, time_point> crashed_at_{};           // targets
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
    std::uint64_t last_epoch_ = 0;

    void at(time_point when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            const auto first = events_.begin();
            now_ = first->first;
            const auto action = std::move(first->second);
            events_.erase(first);
            action();
        }
        now_ = end;
    }

    duration message_time()
    {
        return 1ms + duration{static_cast<std::int64_t>(uniform_below(
                         random_, static_cast<std::uint64_t>(message_time_max.count())))};
    }

    void send_batch(std::size_t from, std::size_t to)
    {
        if (from == to || !hosts_[from].up_) {
            return;
        }
        suspicion_outbox& outbox = hosts_[from].outboxes_[to];
        std::vector<peer::fact> facts;
        for (const fingerprint request : take_batch(outbox, now_)) {
            facts.push_back(shared_suspicion_of(hosts_[from].known_, request, now_));
        }
        if (facts.empty()) {
            if (const auto next = next_batch_at(outbox)) {
                at(std::max(*next, now_ + 1ms), [=, this] { send_batch(from, to); });
            }
            return;
        }
        ++messages_;
        const std::string path = peer::write_suspicions_path(facts);
        bytes_ += path.size();
        at(now_ + message_time(), [=, this] {
            const bool received = hosts_[to].up_ && reaches_(from, to);
            if (received) {
                receive(to, peer::read_suspicions_path(path).value(), true);
            }
            on_batch_ended(hosts_[from].outboxes_[to], received, now_, random_);
            send_batch(from, to);
        });
    }

    void report(std::size_t from, fingerprint request)
    {
        for (std::size_t to = 0; to < feed_hosts; ++to) {
            if (to != from) {
                add(hosts_[from].outboxes_[to], request);
                send_batch(from, to);
            }
        }
    }

    void receive(std::size_t to, const std::vector<peer::fact>& facts, bool is_report)
    {
        for (const peer::fact& each : facts) {
            const fingerprint request = fingerprint_of(each).value();
            if (merge(hosts_[to].known_, each, now_).value()) {
                share(to, request);
                if (is_report && to < feed_hosts) {
                    report(to, request);
                }
                if (clear_if_run_recently(hosts_[to].known_, hosts_[to].runs_, request, now_)) {
                    raise(to, {request});
                }
            }
        }
    }

    // Answers the readers of a host of the feed.
    void share(std::size_t from, fingerprint request)
    {
        const peer::fact fact = shared_suspicion_of(hosts_[from].known_, request, now_);
        if (from >= feed_hosts || !concerns_all_hosts(fact)) {
            return;
        }
        directory::update_suspicion(hosts_[from].feed_, fact, now_);
        for (std::size_t reader = feed_hosts; reader < hosts_.size(); ++reader) {
            if (hosts_[reader].reads_from_ == from) {
                at(now_ + 1ms, [=, this] { read_page(reader, from); });
            }
        }
    }

    // What a reader gets from a host of the feed; whether that one answered.
    bool read_page(std::size_t reader, std::size_t from)
    {
        if (!hosts_[from].up_ || !hosts_[reader].up_ || !reaches_(from, reader)) {
            return false;
        }
        const directory::feed& feed = hosts_[from].feed_;
        directory::feed_position& position = hosts_[reader].position_;
        if (!directory::has_updates(feed, position)) {
            return true;
        }
        const std::string page =
            peer::write_feed_page(directory::make_page(feed, position, now_, now_));
        bytes_ += page.size();
        const bool started = position.epoch_ != feed.epoch_;
        position = {feed.epoch_, feed.sequence_, 0};
        at(now_ + message_time(), [=, this] {
            receive(reader, peer::read_feed_page(page).value().suspicions_, false);
            if (started) {
                for (const fingerprint each : suspects_at(hosts_[reader].known_, now_)) {
                    add(hosts_[reader].outboxes_[from], each);
                }
                send_batch(reader, from);
            }
        });
        return true;
    }

    void read(std::size_t reader)
    {
        host& one = hosts_[reader];
        const bool answered = read_page(reader, one.reads_from_);
        if (!answered) {
            one.reads_from_ = (one.reads_from_ + 1) % feed_hosts;
        }
        at(now_ + (answered ? 500ms : read_timeout), [=, this] { read(reader); });
    }

    // A host that has lost what it knew asks the hosts of the feed.
    void restart(std::size_t which)
    {
        hosts_[which] = host{};
        hosts_[which].feed_.epoch_ = ++last_epoch_;
        for (std::size_t from = 0; from < feed_hosts; ++from) {
            if (from == which || !hosts_[from].up_) {
                continue;
            }
            std::vector<peer::fact> facts;
            for (const fingerprint request : suspects_at(hosts_[from].known_, now_)) {
                facts.push_back(shared_suspicion_of(hosts_[from].known_, request, now_));
            }
            at(now_ + 2 * message_time(), [=, this] { receive(which, facts, false); });
        }
    }

    void raise(std::size_t at_host, const std::vector<fingerprint>& requests)
    {
        for (const fingerprint request : requests) {
            share(at_host, request);
            report(at_host, request);
        }
    }

    // A host sends one of many callers' requests to a target, unless it refuses it.
    void send(std::size_t which, request_fingerprints request, const std::string& target,
              bool kills)
    {
        constexpr duration work = 120ms;
        host& sender = hosts_[which];
        if (is_quarantined(sender.known_, request.content_, now_)) {
            const auto since = refused_since_.try_emplace(request.content_, now_).first->second;
            duration& longest = longest_refusal_[request.content_];
            longest = std::max(longest, now_ - since);
            return;
        }
        if (is_quarantined(sender.known_, request.caller_, now_) || now_ < down_until_[target]) {
            return;
        }
        refused_since_.erase(request.content_);
        on_request_sent(sender.known_, request.caller_, target, now_);
        on_request_sent(sender.known_, request.content_, target, now_, suspect_scope::content);
        if (kills) {
            crashes_[request.content_].push_back(now_);
            crash(target);
            return;
        }
        at(now_ + work, [=, this, sent = now_] {
            host& by = hosts_[which];
            if (crashed_at_.count(target) > 0 && crashed_at_[target] >= sent) {
                return;
            }
            on_run_completed(by.runs_, request.content_, now_);
            for (const fingerprint each : {request.caller_, request.content_}) {
                if (on_request_ended(by.known_, each, target, true)) {
                    raise(which, {each});
                }
            }
        });
    }

    // The target crashes, and all hosts that had requests in flight there find out.
    void crash(const std::string& target)
    {
        crashed_at_[target] = now_;
        down_until_[target] = now_ + 3s;
        at(now_ + crash_check_time, [=, this] {
            for (std::size_t which = 0; which < hosts_.size(); ++which) {
                host& one = hosts_[which];
                const auto raised = on_target_crashed(one.known_, target, now_);
                for (const fingerprint each : raised) {
                    clear_if_run_recently(one.known_, one.runs_, each, now_);
                }
                raise(which, raised);
            }
        });
    }

    // Requests of many callers with the same content, each through any host to any target.
    void call_by_all(fingerprint content, bool kills, std::size_t targets, duration pause,
                     time_point end)
    {
        constexpr fingerprint callers = 20;
        const fingerprint caller = content * 1000 + uniform_below(random_, callers);
        send(uniform_below(random_, hosts_.size()), {caller, content},
             "t" + std::to_string(uniform_below(random_, targets)), kills);
        if (now_ + pause < end) {
            at(now_ + pause, [=, this] { call_by_all(content, kills, targets, pause, end); });
        }
    }

    // The host sends a killer to a target, unless it refuses it. Returns whether it was sent.
    bool send_killer(std::size_t which, fingerprint killer, const std::string& target)
    {
        host& sender = hosts_[which];
        if (!sender.up_ || is_quarantined(sender.known_, killer, now_) ||
            now_ < down_until_[target]) {
            return false;
        }
        on_request_sent(sender.known_, killer, target, now_);
        crashes_[killer].push_back(now_);
        down_until_[target] = now_ + 3s;
        at(now_ + crash_check_time,
           [=, this] { raise(which, on_target_crashed(hosts_[which].known_, target, now_)); });
        return true;
    }

    // A caller that sends the killer again and again, each time through another host.
    void call_again(fingerprint killer, std::size_t targets, duration pause)
    {
        const std::size_t host = uniform_below(random_, hosts_.size());
        const std::string target = "t" + std::to_string(uniform_below(random_, targets));
        const bool sent = send_killer(host, killer, target);
        at(now_ + pause + (sent ? answer_delay : 1ms),
           [=, this] { call_again(killer, targets, pause); });
    }

    [[nodiscard]] std::size_t sends_after_third(fingerprint killer) const
    {
        const auto found = crashes_.find(killer);
        return found == crashes_.end() ? 0 : std::max<std::size_t>(found->second.size(), 3) - 3;
    }
};

// The rule: three more sends after the third crash, from all hosts together.
constexpr std::size_t allowed_after_third = 3;

// Sends of one caller come one after the other; those of many callers may be in flight already, and
// count when they come later than this after the third crash.
constexpr duration stability_window = 3s;

std::size_t late_sends(const std::vector<time_point>& crashes)
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](auto when) {
        return crashes.size() >= 3 && when > crashes[2] + stability_window;
    }));
}

// Harmless content may be refused until the hosts know of a run that has completed.
constexpr duration refusal_of_harmless_max = 1s;

// Whether the harmless content was refused for longer than that without a break.
void check_is_served(const fleet& all, fingerprint content)
{
    const auto refused = all.longest_refusal_.find(content);
    const duration longest =
        refused == all.longest_refusal_.end() ? duration::zero() : refused->second;
    CHECK_TEXT(longest <= refusal_of_harmless_max,
               (std::to_string(all.hosts_.size()) + " hosts, refused for " +
                std::to_string(longest / 1ms) + " ms")
                   .c_str());
}

} // namespace

TEST_GROUP(suspicion_fleet){};

TEST(suspicion_fleet, a_fleet_of_any_size_sends_a_killer_on_after_the_third_crash)
{
    for (const std::size_t size : {13, 101, 311, 1000}) {
        fleet all{size};
        all.at(start, [&] { all.call_again(1, 22, 100ms); });
        all.run_until(start + 60s);
        CHECK(all.crashes_[1].size() >= 2);
        CHECK(all.sends_after_third(1) <= allowed_after_third);
    }
}

TEST(suspicion_fleet, a_killer_of_many_callers_is_sent_on_after_the_third_crash)
{
    for (const std::size_t size : {13, 101, 311, 1000}) {
        for (const duration pause : {duration{300ms}, duration{30ms}, duration{5ms}}) {
            fleet all{size};
            all.at(start, [&] { all.call_by_all(1, true, 600, pause, start + 60s); });
            all.run_until(start + 60s);
            const auto& crashes = all.crashes_[1];
            CHECK(crashes.size() >= 3);
            CHECK_TEXT(late_sends(crashes) <= allowed_after_third,
                       ("hosts " + std::to_string(size) + ", crashes " +
                        std::to_string(crashes.size()) + ", late " +
                        std::to_string(late_sends(crashes)))
                           .c_str());
        }
    }
}

// Load: content that many callers send, in flight at each target that a killer crashes.
TEST(suspicion_fleet, harmless_content_of_many_callers_is_refused_beside_a_killer)
{
    for (const std::size_t size : {13, 311, 1000}) {
        for (const duration pause : {duration{200ms}, duration{20ms}, duration{4ms}}) {
            fleet all{size};
            all.at(start, [&] {
                all.call_by_all(1, true, 22, 50ms, start + 20s);
                all.call_by_all(2, false, 22, pause, start + 60s);
            });
            all.run_until(start + 60s);
            CHECK(late_sends(all.crashes_[1]) <= allowed_after_third);
            check_is_served(all, 2);
        }
    }
}

// Load: the same content, and a sixth of the targets crash for other reasons, three times.
TEST(suspicion_fleet, harmless_content_is_refused_after_many_targets_crash)
{
    for (const std::size_t size : {13, 311, 1000}) {
        for (const duration pause : {duration{200ms}, duration{20ms}, duration{4ms}}) {
            fleet all{size};
            all.at(start - 500ms, [&] { all.call_by_all(2, false, 22, pause, start + 60s); });
            for (const duration when : {duration{1s}, duration{4s}, duration{7s}}) {
                all.at(start + when, [&] {
                    for (int target = 0; target < 4; ++target) {
                        all.crash("t" + std::to_string(target));
                    }
                });
            }
            all.run_until(start + 60s);
            check_is_served(all, 2);
        }
    }
}

// Load: the same content at a few targets, which crash one after the other for other reasons. Most
// hosts hear of it only with the third crash, and have completed runs since the first.
TEST(suspicion_fleet, harmless_content_is_refused_after_targets_crash_one_by_one)
{
    for (const std::size_t size : {13, 311, 1000}) {
        for (const duration pause : {duration{200ms}, duration{100ms}, duration{20ms}}) {
            fleet all{size};
            all.at(start - 500ms, [&] { all.call_by_all(2, false, 6, pause, start + 60s); });
            for (int second = 1; second <= 50; ++second) {
                all.at(start + std::chrono::seconds{second},
                       [&] { all.crash("t" + std::to_string(uniform_below(all.random_, 6))); });
            }
            all.run_until(start + 60s);
            check_is_served(all, 2);
        }
    }
}

TEST(suspicion_fleet, a_killer_is_sent_on_while_hosts_of_the_feed_are_killed_or_cut_off)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        fleet all{13 + 44 * (seed % 3)};
        all.random_.seed(seed);
        std::set<std::size_t> cut;
        all.reaches_ = [&](std::size_t from, std::size_t to) {
            return cut.count(from) == 0 && cut.count(to) == 0;
        };
        for (int i = 0; i < 12; ++i) {
            const duration when{static_cast<std::int64_t>(
                uniform_below(all.random_, static_cast<std::uint64_t>(duration{20s}.count())))};
            const std::size_t which = uniform_below(all.random_, feed_hosts);
            all.at(start + when, [&, which, i] {
                if (i % 2 == 0) {
                    all.hosts_[which].up_ = false;
                    all.at(all.now_ + 500ms, [&, which] { all.restart(which); });
                }
                else if (cut.empty()) { // two of three reach the others
                    cut.insert(which);
                    all.at(all.now_ + 2s, [&, which] { cut.erase(which); });
                }
            });
        }
        all.at(start, [&] { all.call_again(1, 22, 150ms); });
        all.run_until(start + 40s);
        CHECK_TEXT(all.sends_after_third(1) <= allowed_after_third,
                   ("seed " + std::to_string(seed) + ": " +
                    std::to_string(all.sends_after_third(1)) + " sends after the third crash")
                       .c_str());
    }
}

TEST(suspicion_fleet, two_killers_that_share_targets_hide_each_other)
{
    for (const std::size_t size : {13, 311}) {
        fleet all{size};
        all.at(start, [&] {
            all.call_again(1, 6, 70ms);
            all.call_again(2, 6, 90ms);
        });
        all.run_until(start + 60s);
        CHECK(all.sends_after_third(1) <= allowed_after_third);
        CHECK(all.sends_after_third(2) <= allowed_after_third);
    }
}

TEST(suspicion_fleet, news_of_many_crashes_at_once_floods_the_hosts)
{
    fleet all{311};
    // A sixth of 600 targets crash at once, each with four requests of as many hosts in flight.
    fingerprint request = 1000;
    for (int target = 0; target < 100; ++target) {
        const std::string name = "t" + std::to_string(target);
        for (int i = 0; i < 4; ++i) {
            const std::size_t which = uniform_below(all.random_, all.hosts_.size());
            on_request_sent(all.hosts_[which].known_, ++request, name, start);
            all.at(start + crash_check_time, [&, which, name] {
                all.raise(which, on_target_crashed(all.hosts_[which].known_, name, all.now_));
            });
        }
    }
    all.run_until(start + 10s);
    CHECK(all.messages_ <= 4 * 400 * feed_hosts);
    CHECK(all.bytes_ <= 400 * 1024); // over all hosts and 10 s; a fact takes some 40 bytes
    for (const host& each : all.hosts_) {
        for (fingerprint one = 1001; one <= request; ++one) {
            CHECK_FALSE(is_quarantined(each.known_, one, all.now_));
        }
    }
}

TEST(suspicion_fleet, an_outbox_grows_without_end_while_its_host_is_away)
{
    suspicion_outbox outbox;
    random_source random{1};
    time_point now = start;
    for (fingerprint request = 0; request < 10 * outbox_max; ++request) {
        add(outbox, request);
        if (!take_batch(outbox, now).empty()) {
            on_batch_ended(outbox, false, now, random);
        }
        now += 1ms;
    }
    LONGS_EQUAL(outbox_max, outbox.waiting_.size());
    CHECK(*next_batch_at(outbox) <= now + 2s);
}

TEST(suspicion_fleet, harmless_requests_beside_killers_are_refused_for_minutes)
{
    constexpr std::size_t targets = 6;
    constexpr fingerprint harmless = 50; // and the nine after it
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        quarantine known;
        random_source random{seed};
        std::map<fingerprint, time_point> refused_since;
        std::map<fingerprint, std::pair<std::string, time_point>> running;
        for (time_point now = start; now < start + 60s; now += 10ms) {
            for (fingerprint each = harmless; each < harmless + 10; ++each) {
                const auto at = running.find(each);
                if (at != running.end()) {
                    if (now - at->second.second >= 100ms) {
                        on_request_ended(known, each, at->second.first, true);
                        running.erase(at);
                    }
                    continue;
                }
                if (is_quarantined(known, each, now)) {
                    const time_point since = refused_since.try_emplace(each, now).first->second;
                    CHECK_TEXT(now - since <= short_refusal_lifetime,
                               ("seed " + std::to_string(seed)).c_str());
                    continue;
                }
                refused_since.erase(each);
                const std::string target = "t" + std::to_string(uniform_below(random, targets));
                if (!runs_other_suspect(known, each, target, now)) {
                    on_request_sent(known, each, target, now);
                    running[each] = {target, now};
                }
            }
            const fingerprint killer = 1 + uniform_below(random, 2);
            const std::string target = "t" + std::to_string(uniform_below(random, targets));
            if (uniform_below(random, 20) == 0 && !is_quarantined(known, killer, now) &&
                !runs_other_suspect(known, killer, target, now)) {
                on_request_sent(known, killer, target, now);
                on_target_crashed(known, target, now + 1ms);
                std::erase_if(running, [&](const auto& one) { return one.second.first == target; });
            }
        }
    }
}

TEST(suspicion_fleet, a_malformed_or_huge_report_is_taken)
{
    const std::string valid = "00000000000000ff=120=10.0.0.1:80/01020304#1,b#1!;";
    LONGS_EQUAL(1, peer::read_suspicions("" + valid).value().size());
    std::string many_crashes = "ff=1=";
    for (std::size_t i = 0; i <= crashes_kept_max; ++i) {
        many_crashes += "t" + std::to_string(i) + "#1,";
    }
    for (const std::string& text :
         {std::string{"zz=1=a#1;"}, std::string{"ff=-1=a#1;"}, std::string{"ff=99999999=a#1;"},
          std::string{"ff=1="} + std::string(4000, 'a') + ";", many_crashes, std::string{"ff"},
          valid + "=;"}) {
        CHECK_TEXT(!peer::read_suspicions(text), text.substr(0, 40).c_str());
    }
    CHECK(!peer::read_suspicions_path("/grant?" + valid));
    directory::feed_page page;
    page.suspicions_ = {{peer::fact_kind::suspicion, "not hexadecimal", 0, "a#1", 9},
                        {peer::fact_kind::suspicion, "ff", 0, "a#1,b#1", 9}};
    LONGS_EQUAL(1, peer::read_feed_page(peer::write_feed_page(page)).value().suspicions_.size());
}

TEST(suspicion_fleet, news_from_an_earlier_run_refuses_a_request_for_longer_than_it_may)
{
    quarantine first;
    quarantine second;
    for (const char* target : {"a", "b", "c"}) {
        on_request_sent(first, 1, target, start);
        on_target_crashed(first, target, start + 1ms);
    }
    const time_point late = start + refusal_lifetime - 5s;
    CHECK(merge(second, shared_suspicion_of(first, 1, late), late).value());
    CHECK(is_quarantined(second, 1, late));
    CHECK_FALSE(is_quarantined(second, 1, late + suspicion_lifetime + 6s));
}
