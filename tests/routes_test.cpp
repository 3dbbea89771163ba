// Routes by host and longest prefix, and the split of a route's requests among services.

#include "routes/split.hpp"
#include "routes/table.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace savoryscale;
using routes::route;

namespace {

route make_route(std::string name, std::string host, std::string prefix)
{
    route made;
    made.name_ = std::move(name);
    made.host_ = std::move(host);
    made.path_prefix_ = std::move(prefix);
    made.weighted_services_.push_back({"ledger", 1});
    return made;
}

std::string found(const routes::table& all, std::string_view host, std::string_view target)
{
    const route* one = routes::find_route(all, host, target);
    return one == nullptr ? "none" : one->name_;
}

} // namespace

TEST_GROUP(routes)
{
    routes::table all = routes::make_table(
        {3,
         {make_route("root", "a.example", "/"), make_route("lots", "a.example", "/lots/"),
          make_route("old", "a.example", "/lots/old/"), make_route("other", "b.example", "/lots/"),
          make_route("no-slash", "", "/photo"), make_route("any", "", "/photos/")},
         {},
         {}});
};

TEST(routes, longest_prefix_of_host_wins)
{
    STRCMP_EQUAL("old", found(all, "a.example", "/lots/old/7").c_str());
    STRCMP_EQUAL("lots", found(all, "a.example", "/lots/older").c_str());
    STRCMP_EQUAL("lots", found(all, "a.example", "/lots/").c_str());
    STRCMP_EQUAL("root", found(all, "a.example", "/lots").c_str());
    STRCMP_EQUAL("other", found(all, "b.example", "/lots/old/7").c_str());
}

TEST(routes, port_query_and_case_of_host_are_ignored)
{
    STRCMP_EQUAL("lots", found(all, "A.Example:8080", "/lots/7?next=/lots/old/").c_str());
    STRCMP_EQUAL("none", found(all, "[fd00::1]:80", "/lots/7").c_str());
}

TEST(routes, route_that_names_host_takes_precedence_over_any_host)
{
    STRCMP_EQUAL("root", found(all, "a.example", "/photos/1").c_str());
    STRCMP_EQUAL("any", found(all, "c.example", "/photos/1").c_str());
    STRCMP_EQUAL("no-slash", found(all, "c.example", "/photo-1").c_str());
    STRCMP_EQUAL("none", found(all, "c.example", "/lots/7").c_str());
}

TEST_GROUP(split)
{
    random_source random{7};
    routes::split_state state;

    // The number of `count` requests that each of two services gets.
    std::array<int, 2> take(double first, double second, int count)
    {
        const std::array<routes::weighted_service, 2> services{{{"a", first}, {"b", second}}};
        std::array<int, 2> taken{};
        for (int i = 0; i < count; ++i) {
            ++taken[routes::next_service(state, services, random)];
        }
        return taken;
    }
};

TEST(split, weights_hold_over_few_requests)
{
    for (int span = 0; span < 50; ++span) {
        const auto taken = take(90, 10, 10);
        CHECK(taken[1] >= 0 && taken[1] <= 2);
        LONGS_EQUAL(10, taken[0] + taken[1]);
    }
    const auto all = take(90, 10, 1000);
    CHECK(all[1] >= 99 && all[1] <= 101);
}

TEST(split, service_with_zero_weight_gets_nothing_and_new_weights_apply_at_once)
{
    LONGS_EQUAL(0, take(0, 1, 100)[0]);
    const auto taken = take(50, 50, 100);
    CHECK(taken[0] >= 49 && taken[0] <= 51);
}

TEST(split, hosts_do_not_all_start_with_same_service)
{
    const std::array<routes::weighted_service, 2> services{{{"a", 1}, {"b", 1}}};
    int first = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        random_source own{seed};
        routes::split_state fresh;
        first += routes::next_service(fresh, services, own) == 0 ? 1 : 0;
    }
    CHECK(first > 30 && first < 70);
}
