// Cold targets: what all hosts together send them, when a whole data centre of them comes back.

#include "routing/cold_targets.hpp"
#include "routing/grant_book.hpp"
#include "routing/limit_granter.hpp"
#include "routing/placement.hpp"
#include "routing/service_view.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t granters = 3;

routing::target_info target(int number, std::string data_centre, duration warm_up)
{
    routing::target_info info;
    info.address_ = {"10.0.0." + std::to_string(number), 80};
    info.data_centre_ = std::move(data_centre);
    info.incarnation_ = 1;
    info.slots_ = 2;
    info.warm_up_ = warm_up;
    return info;
}

routing::probed_target idle(routing::target_index index)
{
    routing::load_report load;
    load.slots_ = 2;
    return {index, load};
}

// The most arrivals at one target in any span of a second.
std::size_t most_in_a_second(std::vector<time_point> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= 1s) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_GROUP(cold_targets)
{
    time_point now = time_point{} + 100s;
    random_source random{7};
    settings::cold_bounds bounds{1.5, 8};
    routing::service_view view = routing::make_view({}, "a", routing::policy::probed);

    void list(const std::vector<routing::target_info>& targets)
    {
        routing::update_targets(view, targets, now);
    }

    bool limited(std::size_t index)
    {
        return routing::limit_at(view, view.targets_[index], now).has_value();
    }

    duration random_delay(duration least, duration most)
    {
        return least + duration{static_cast<std::int64_t>(
                           routing_unit() * static_cast<double>((most - least).count()))};
    }

    double routing_unit()
    {
        return uniform_unit(random);
    }

    // Each host of `hosts` sends `per_second / hosts` requests a second for 6 s. Each request finds
    // some of the cold targets free, as all probes of the same instant do, and asks the granters.
    // Returns the arrivals by target.
    std::vector<std::vector<time_point>> play(int hosts, int targets, double per_second,
                                              std::size_t granters_up)
    {
        const double rate = routing::cold_rate(bounds, 6.3, granters);
        std::array<routing::limit_granter, granters> granting;
        for (routing::limit_granter& each : granting) {
            each.granters_ = granters;
            each.started_ = now - 1h;
        }
        std::vector<routing::grant_book> books(static_cast<std::size_t>(hosts));
        for (routing::grant_book& book : books) {
            book.granters_.resize(granters);
        }
        std::vector<std::vector<time_point>> arrivals(static_cast<std::size_t>(targets));
        const time_point end = now + 6s;
        while (now < end) {
            now += duration{static_cast<std::int64_t>(1e9 / per_second)};
            routing::grant_book& book = books[uniform_below(random, books.size())];
            std::vector<routing::grant_wish> wishes;
            for (int i = 0; i < 4; ++i) {
                const auto name = std::to_string(uniform_below(random, arrivals.size()));
                if (routing::may_be_granted(book, name, now)) {
                    wishes.push_back({name, rate, 0ms});
                }
            }
            std::vector<bool> asked(granters);
            for (int question = 0; question < 2; ++question) {
                const auto next = routing::next_question(book, wishes, asked, now, random);
                if (!next) {
                    break;
                }
                asked[next->granter_] = true;
                if (next->granter_ >= granters_up) {
                    routing::on_granter_failed(book, next->granter_, now);
                    continue;
                }
                routing::grant_request request;
                for (const std::size_t wish : next->wishes_) {
                    request.wishes_.push_back(wishes[wish]);
                }
                const auto answer = routing::grant(granting[next->granter_], request, now);
                routing::on_grant_answer(book, *next, wishes, answer, now);
                if (answer.granted_) {
                    const auto at = std::stoul(request.wishes_[*answer.granted_].target_);
                    arrivals[at].push_back(now + random_delay(1ms, 60ms));
                    break;
                }
            }
        }
        return arrivals;
    }
};

// 80 to 120 targets come back cold at the same moment, under twice the usual load.
TEST(cold_targets, hosts_together_keep_to_the_bound_and_starve_none)
{
    const auto most_allowed = static_cast<std::size_t>(6.3 * 1.5 + 8);
    for (const int hosts : {13, 126, 1000}) {
        for (const int targets : {1, 80, 120}) {
            for (const auto& arrivals : play(hosts, targets, 2000, granters)) {
                CHECK(most_in_a_second(arrivals) <= most_allowed);
                CHECK(arrivals.size() > 6 * 6); // its own rate of 6.3, nearly
            }
        }
    }
}

TEST(cold_targets, without_one_granter_the_others_grant_their_part)
{
    for (const auto& arrivals : play(126, 80, 2000, 2)) {
        CHECK(most_in_a_second(arrivals) <= 17);
        CHECK(arrivals.size() > 6 * 4);
    }
}

TEST(cold_targets, rate_leaves_room_for_what_granters_have_saved)
{
    for (const double per_second : {0.5, 2.0, 4.2, 6.3, 40.0}) {
        const double rate = routing::cold_rate(bounds, per_second, granters);
        const double saved = granters * (1 + std::max(0.5 * rate / granters, 0.5));
        CHECK(rate + saved <= per_second * 1.5 + 8);
        CHECK(rate <= per_second * 1.5);
    }
    DOUBLES_EQUAL(0, routing::cold_rate(bounds, 0, granters), 0);
}

TEST(cold_targets, target_is_cold_from_its_start_and_its_word_is_newer)
{
    routing::set_cold(view, 3s, 6);
    list({target(1, "a", 0ms), target(2, "a", 2s)});
    CHECK(!limited(0)); // it ran before this host did
    CHECK(limited(1));
    list({target(1, "a", 0ms), target(2, "a", 2s), target(3, "a", 0ms)});
    CHECK(limited(2));
    CHECK(!routing::on_warm_up_heard(view.targets_[2], std::nullopt, now));
    CHECK(!limited(2));
    now += 10s;
    CHECK(routing::on_warm_up_heard(view.targets_[0], 1500ms, now)); // at any moment
    CHECK(limited(0));
    now += 1500ms;
    CHECK(!limited(0));
    list({target(1, "a", 3s), target(2, "a", 2s)}); // by its entry
    CHECK(limited(0));
}

TEST(cold_targets, lower_limit_of_the_two_binds)
{
    routing::set_cold(view, 3s, 6);
    list({target(1, "a", 2s)});
    DOUBLES_EQUAL(6, routing::limit_at(view, view.targets_[0], now)->per_second_, 0);
    view.targets_[0].limit_ = routing::target_limit{2, now, now, true};
    DOUBLES_EQUAL(2, routing::limit_at(view, view.targets_[0], now)->per_second_, 0);
    view.targets_[0].limit_->per_second_ = 9;
    DOUBLES_EQUAL(6, routing::limit_at(view, view.targets_[0], now)->per_second_, 0);
}

TEST(cold_targets, data_centre_taken_back_counts_as_cold_until_its_targets_speak)
{
    routing::set_cold(view, 3s, 6);
    list({target(1, "a", 0ms), target(2, "b", 0ms)});
    const std::vector<std::string> emptied{"a"};
    routing::set_emptied(view, emptied, now);
    CHECK(!limited(0) && !limited(1));
    routing::set_emptied(view, {}, now);
    CHECK(limited(0) && !limited(1));
    routing::on_warm_up_heard(view.targets_[0], std::nullopt, now);
    CHECK(!limited(0));
    routing::set_emptied(view, {}, now);
    CHECK(!limited(0));
}

// Warm targets are preferred while they have room; cold ones need a grant, and second sends none
// get.
TEST(cold_targets, cold_target_is_chosen_only_with_a_grant)
{
    routing::set_cold(view, 3s, 6);
    list({target(1, "a", 2s), target(2, "a", 0ms)});
    const std::vector<routing::probed_target> both{idle(0), idle(1)};
    LONGS_EQUAL(1, routing::place(view, both, {}, now, random)->target_);
    const std::vector<routing::probed_target> cold{idle(0)};
    CHECK(!routing::has_free_target(view, cold, now));
    LONGS_EQUAL(1, routing::place_limited(view, cold, {}, 4, now).size());
    list({target(1, "a", 2s)});
    CHECK(routing::has_free_target(view, cold, now)); // all are cold
}

TEST(cold_targets, without_a_named_rate_nothing_is_limited)
{
    list({target(1, "a", 2s)});
    CHECK(!limited(0));
    CHECK(!routing::has_free_target(view, std::vector<routing::probed_target>{idle(0)}, now));
}
