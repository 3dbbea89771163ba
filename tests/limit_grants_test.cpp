// Grants for requests to targets that name a limit, with many hosts and in virtual time.

#include "peer/grant_wire.hpp"
#include "routing/grant_book.hpp"
#include "routing/limit_granter.hpp"
#include "routing/placement.hpp"
#include "routing/service_view.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;
using routing::grant_wish;

namespace {

constexpr std::size_t granters = 3;
constexpr time_point start = time_point{} + 1000s;

// Most requests that a target may get in any 4 s.
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

// Hosts that know nothing of each other, and send requests to targets that all name one limit.
struct fleet {
    std::size_t hosts_;
    std::size_t targets_;
    double limit_;
    double demand_; // requests per second of all hosts
    random_source random_{7};
    time_point now_ = start;
    std::vector<routing::limit_granter> granters_ =
        std::vector<routing::limit_granter>(granters, {granters, start - 60s, {}, {}, 0});
    std::vector<routing::grant_book> books_ = make_books(hosts_);
    // Whether the host reaches the granter now.
    std::function<bool(std::size_t host, std::size_t granter)> reaches_ = [](auto, auto) {
        return true;
    };
    std::map<std::string, std::vector<time_point>> arrivals_{};
    std::size_t asked_ = 0;
    std::size_t wishes_ = 4; // targets that one request asks for

    static std::vector<routing::grant_book> make_books(std::size_t hosts)
    {
        routing::grant_book book;
        book.granters_.resize(granters);
        return std::vector<routing::grant_book>(hosts, book);
    }

    std::vector<grant_wish> wishes()
    {
        std::vector<grant_wish> made;
        const std::size_t first = uniform_below(random_, targets_);
        for (std::size_t i = 0; i < std::min(wishes_, targets_); ++i) {
            made.push_back({"target-" + std::to_string((first + i) % targets_), limit_, 5ms});
        }
        return made;
    }

    // One request at the host; sent only if granted.
    bool request(std::size_t host, std::uint32_t priority = 0)
    {
        const auto all = wishes();
        std::vector<bool> asked(granters);
        for (int i = 0; i < 2; ++i) { // as many granters as a host asks for one request
            const auto question = routing::next_question(books_[host], all, asked, now_, random_);
            if (!question) {
                return false;
            }
            asked[question->granter_] = true;
            ++asked_;
            if (!reaches_(host, question->granter_)) {
                routing::on_granter_failed(books_[host], question->granter_, now_);
                continue;
            }
            routing::grant_request wished{priority, {}};
            for (const std::size_t wish : question->wishes_) {
                wished.wishes_.push_back(all[wish]);
            }
            const auto answer = routing::grant(granters_[question->granter_], wished, now_);
            routing::on_grant_answer(books_[host], *question, all, answer, now_);
            if (answer.granted_) {
                const std::string& target = all[question->wishes_[*answer.granted_]].target_;
                arrivals_[target].push_back(now_ +
                                            std::chrono::milliseconds{uniform_below(random_, 20)});
                return true;
            }
        }
        return false;
    }

    // Sends requests at the demand for a time, at random hosts.
    void run(duration time)
    {
        const time_point end = now_ + time;
        while (now_ < end) {
            const double gap = -std::log(1 - uniform_unit(random_)) / demand_;
            now_ += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
            request(uniform_below(random_, hosts_), uniform_below(random_, 4) == 0 ? 1 : 2);
        }
    }

    std::size_t most_in_4_s() const
    {
        std::size_t most = 0;
        for (auto [target, times] : arrivals_) {
            std::sort(times.begin(), times.end());
            std::deque<time_point> recent;
            for (const time_point each : times) {
                recent.push_back(each);
                while (each - recent.front() > 4s) {
                    recent.pop_front();
                }
                most = std::max(most, recent.size());
            }
        }
        return most;
    }

    double sent() const
    {
        double sum = 0;
        for (const auto& [target, times] : arrivals_) {
            sum += static_cast<double>(times.size());
        }
        return sum;
    }
};

} // namespace

TEST_GROUP(limit_grants)
{
    routing::limit_granter granter{granters, start - 60s, {}, {}, 0};
};

TEST(limit_grants, a_limit_kept_by_each_host_for_itself_is_exceeded_by_the_sum)
{
    fleet hosts{13, 1, 1.8, 60};
    for (std::size_t host = 0; host < 13; ++host) {
        routing::limit_granter own{1, start - 60s, {}, {}, 0};
        for (int i = 0; i < 80; ++i) {
            const time_point now = start + i * 50ms;
            if (routing::grant(own, {0, hosts.wishes()}, now).granted_) {
                hosts.arrivals_["target-0"].push_back(now);
            }
        }
    }
    CHECK(static_cast<double>(hosts.most_in_4_s()) > allowed(1.8));
}

TEST(limit_grants, the_sum_of_many_hosts_exceeds_a_limit_or_leaves_it_unused)
{
    for (const std::size_t count : {13, 101, 311, 1000}) {
        for (const double limit : {0.2, 0.7, 1.8, 40.0}) {
            const std::size_t targets = 8;
            fleet hosts{count, targets, limit, 2 * limit * targets};
            const double seconds = std::max(60.0, 60 / limit); // many whole requests to each target
            hosts.run(std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)));
            const std::string which = std::to_string(count) + " " + std::to_string(limit);
            CHECK_TEXT(static_cast<double>(hosts.most_in_4_s()) <= allowed(limit), which.c_str());
            CHECK_TEXT(hosts.sent() >= 0.9 * limit * targets * seconds, which.c_str());
        }
    }
}

TEST(limit_grants, grants_left_to_urgent_requests_are_lost)
{
    fleet hosts{136, 160, 2.2, 2 * 2.2 * 160};
    hosts.wishes_ = 2;
    hosts.run(30s);
    CHECK(hosts.sent() >= 0.9 * 2.2 * 160 * 30);
}

TEST(limit_grants, restarts_cuts_and_freezes_of_hosts_let_the_sum_exceed_a_limit)
{
    for (const double limit : {0.2, 1.8, 12.0}) {
        fleet hosts{101, 4, limit, 8 * limit};
        std::size_t frozen = granters;
        hosts.reaches_ = [&](std::size_t host, std::size_t asked) {
            return asked != frozen && host % 7 != 0;
        };
        for (int step = 0; step < 40; ++step) {
            hosts.run(700ms);
            frozen = uniform_below(hosts.random_, granters + 1);
            const std::size_t restarted = uniform_below(hosts.random_, granters);
            hosts.granters_[restarted] = {granters, hosts.now_, {}, {}, 0};
            hosts.books_[uniform_below(hosts.random_, 101)] = fleet::make_books(1).front();
        }
        CHECK_TEXT(static_cast<double>(hosts.most_in_4_s()) <= allowed(limit),
                   std::to_string(limit).c_str());
    }
}

TEST(limit_grants, hosts_that_know_nothing_of_each_other_exceed_a_limit)
{
    const bool held = rc::check([] {
        const double limit = *rc::gen::inRange(1, 400) / 10.0;
        fleet hosts{*rc::gen::inRange<std::size_t>(1, 40), *rc::gen::inRange<std::size_t>(1, 4),
                    limit, limit * *rc::gen::inRange(1, 12)};
        hosts.random_.seed(*rc::gen::arbitrary<std::uint32_t>());
        const auto cut = *rc::gen::inRange<std::size_t>(0, granters + 1);
        hosts.reaches_ = [cut](auto, std::size_t asked) { return asked != cut; };
        hosts.run(8s);
        const auto restarted = *rc::gen::inRange<std::size_t>(0, granters);
        hosts.granters_[restarted] = {granters, hosts.now_, {}, {}, 0};
        hosts.run(8s);
        RC_ASSERT(static_cast<double>(hosts.most_in_4_s()) <= allowed(limit));
    });
    CHECK(held);
}

TEST(limit_grants, a_limit_that_falls_rises_or_is_huge_is_not_followed)
{
    fleet hosts{101, 1, 8, 40};
    hosts.run(20s);
    hosts.limit_ = 1;
    hosts.run(1s);
    hosts.arrivals_.clear();
    hosts.run(20s);
    CHECK(static_cast<double>(hosts.most_in_4_s()) <= allowed(1));
    hosts.limit_ = 1e6;
    hosts.run(1s);
    hosts.arrivals_.clear();
    hosts.run(10s);
    CHECK(hosts.sent() >= 0.9 * 40 * 10);
}

TEST(limit_grants, an_older_belief_replaces_a_newer_limit)
{
    routing::grant(granter, {0, {{"t", 3, 0s}}}, start);
    routing::grant(granter, {0, {{"t", 300, 2s}}}, start + 1s);
    DOUBLES_EQUAL(1, granter.buckets_.at("t").per_second_, 1e-9);
    routing::grant(granter, {0, {{"t", 6, 0s}}}, start + 2s);
    DOUBLES_EQUAL(2, granter.buckets_.at("t").per_second_, 1e-9);
}

TEST(limit_grants, a_target_that_takes_nothing_is_never_asked_again)
{
    int sent = 0;
    for (int second = 0; second < 120; ++second) {
        sent += routing::grant(granter, {0, {{"t", 0, 0s}}}, start + second * 1s).granted_ ? 1 : 0;
    }
    CHECK(sent >= 1 && sent <= 3);
}

TEST(limit_grants, a_host_that_is_not_among_the_granters_grants)
{
    routing::limit_granter other;
    CHECK(!routing::grant(other, {0, {{"t", 10, 0s}}}, start).granted_.has_value());
}

TEST(limit_grants, less_urgent_requests_take_the_grants_of_urgent_ones_or_starve)
{
    std::map<std::uint32_t, int> granted;
    std::map<std::uint32_t, int> sent;
    for (int i = 0; i < 4000; ++i) {
        const std::uint32_t priority = i % 2 == 0 ? 1 : 2;
        ++sent[priority];
        const auto answer = routing::grant(granter, {priority, {{"t", 30, 0s}}}, start + i * 25ms);
        granted[priority] += answer.granted_ ? 1 : 0;
    }
    CHECK(granted[1] > granted[2]);
    CHECK(granted[2] * 10 > sent[2]);
    CHECK(granted[1] + granted[2] >= 900); // nine tenths of a third of the limit for 100 s
}

TEST(limit_grants, callers_that_are_denied_together_return_together)
{
    random_source random{3};
    routing::grant_book book = fleet::make_books(1).front();
    const std::vector<grant_wish> wishes{{"t", 1, 0s}};
    for (std::size_t each = 0; each < granters; ++each) {
        routing::on_grant_answer(book, {each, {0}}, wishes, {std::nullopt, {300ms}}, start);
    }
    CHECK(!routing::may_be_granted(book, "t", start));
    duration shortest = 10s;
    duration longest{};
    for (int i = 0; i < 100; ++i) {
        const duration wait = routing::retry_after_denial(book, wishes, start, random);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    CHECK(shortest >= 300ms && longest <= 900ms && longest - shortest >= 300ms);
}

TEST(limit_grants, targets_are_remembered_without_bound)
{
    for (int i = 0; i < 10000; ++i) {
        routing::grant(granter, {0, {{"t" + std::to_string(i), 1, 0s}}}, start);
    }
    CHECK(granter.buckets_.size() <= 4096);
    CHECK(routing::grant(granter, {0, {{"later", 30, 0s}}}, start + 61s).granted_.has_value());
}

TEST(limit_grants, a_limited_target_is_chosen_while_one_without_a_limit_is_free)
{
    settings::service service;
    routing::service_view view = routing::make_view(service, "mobile", routing::policy::probed);
    std::vector<routing::target_info> all(2);
    all[0].address_ = {"10.0.0.1", 80};
    all[1].address_ = {"10.0.0.2", 80};
    for (auto& each : all) {
        each.data_centre_ = "mobile";
        each.slots_ = 2;
    }
    routing::update_targets(view, all, start);
    view.targets_[0].limit_ = routing::target_limit{1, start, start, true};
    const auto probed = [](routing::target_index target, double in_flight) {
        routing::load_report load;
        load.requests_in_flight_ = in_flight;
        load.slots_ = 2;
        return routing::probed_target{target, load};
    };
    random_source random{1};
    const std::vector both_free{probed(0, 0), probed(1, 0)};
    LONGS_EQUAL(1, routing::place(view, both_free, {}, start, random)->target_);
    CHECK(routing::place_limited(view, both_free, {}, 8, start).empty());
    CHECK(!routing::has_free_target(view, std::vector{probed(0, 0)}, start));
    const std::vector one_busy{probed(0, 0), probed(1, 1)};
    LONGS_EQUAL(0, routing::place(view, one_busy, {}, start, random)->target_);
    LONGS_EQUAL(1, routing::place_limited(view, one_busy, {}, 8, start).size());
    view.targets_[1].limit_ = view.targets_[0].limit_;
    CHECK(routing::has_free_target(view, std::vector{probed(0, 0)}, start));
}

TEST(limit_grants, messages_of_granters_are_misread)
{
    const routing::grant_request request{2, {{"10.0.0.1:80", 1.8, 30ms}, {"[::1]:80", 0, 0s}}};
    const auto path = peer::write_grant_path(request);
    CHECK(*peer::read_grant_path(path) == request);
    for (const char* wrong :
         {"/grant?", "/grant?x", "/grant?1;t", "/grant?1;t=1", "/grant?1;=1@2", "/grant?1;t=-1@2",
          "/grant?1;t=inf@2", "/grant?1;t=nan@2", "/grant?1;t=1@-2", "/directory?1.2.3"}) {
        CHECK_TEXT(!peer::read_grant_path(wrong).has_value(), wrong);
    }
    std::string many = "/grant?0";
    for (int i = 0; i < 9; ++i) {
        many += ";t=1@0";
    }
    CHECK(!peer::read_grant_path(many).has_value());
    const routing::grant_answer granted{1, {}};
    const routing::grant_answer denied{std::nullopt, {20ms, 3s}};
    CHECK(*peer::read_grant_answer(peer::write_grant_answer(granted)) == granted);
    CHECK(*peer::read_grant_answer(peer::write_grant_answer(denied)) == denied);
    for (const char* wrong : {"", "granted", "granted 8", "granted -1", "denied x", "ok"}) {
        CHECK_TEXT(!peer::read_grant_answer(wrong).has_value(), wrong);
    }
}
