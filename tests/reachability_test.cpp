// Which hosts a request is handed to when its own host reaches no target, without a network.

#include "directory/feed_server.hpp"
#include "directory/relay_book.hpp"
#include "routing/reachability.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::directory;
using namespace std::chrono_literals;

namespace {

constexpr time_point start = time_point{} + 1000s;

announced_host host_at(std::uint16_t port, std::string data_centre,
                       std::vector<service_hash> unreached = {})
{
    return {{"10.0.0.1", port}, std::move(data_centre), std::move(unreached), {}};
}

} // namespace

TEST_GROUP(reachability)
{
    random_source random{5};
};

TEST(reachability, a_host_searches_for_each_request_while_no_target_answers)
{
    routing::reachability reach;
    CHECK(routing::is_search_due(reach, start));
    CHECK(routing::on_search_unanswered(reach, start));
    CHECK_FALSE(routing::on_search_unanswered(reach, start));
    CHECK_FALSE(routing::is_search_due(reach, start + 1ms));
    routing::on_request(reach);
    CHECK(routing::is_search_due(reach, start + routing::reach_check_interval));
    CHECK_FALSE(routing::is_search_due(reach, start + routing::reach_check_interval + 1ms));
    const auto outage = routing::on_target_answered(reach, start + 300ms);
    CHECK(outage && outage->length_ == 300ms);
    LONGS_EQUAL(1, outage->requests_);
    CHECK(routing::is_search_due(reach, start + 301ms));
    CHECK(routing::is_heard_lately(reach, start + 400ms));
    CHECK_FALSE(routing::is_heard_lately(reach, start + 2s));
}

TEST(reachability, requests_go_to_one_host_or_to_a_far_one)
{
    relay_book book;
    std::vector<announced_host> hosts;
    for (std::uint16_t port = 1; port <= 8; ++port) {
        hosts.push_back(host_at(port, port <= 4 ? "near" : "far"));
    }
    on_hosts_learned(book, hosts, {"10.0.0.1", 1}, start);
    CHECK(is_current(book, start + 499ms));
    CHECK_FALSE(is_current(book, start + relay_book_lifetime));
    std::map<std::uint16_t, int> chosen;
    for (int i = 0; i < 300; ++i) {
        ++chosen[choose_relay(book, {7}, "near", {}, start, random)->port_];
    }
    LONGS_EQUAL(3, chosen.size()); // without itself
    for (const auto& [port, count] : chosen) {
        CHECK(port <= 4 && count > 60);
    }
}

TEST(reachability, a_request_goes_to_a_host_that_is_cut_off_as_well)
{
    relay_book book;
    const std::vector<announced_host> hosts{host_at(1, "near", {7}), host_at(2, "near", {8}),
                                            host_at(3, "far")};
    on_hosts_learned(book, hosts, {"10.0.0.1", 9}, start);
    LONGS_EQUAL(2, choose_relay(book, {7}, "near", {}, start, random)->port_);
    on_relay_failed(book, {"10.0.0.1", 2}, start);
    LONGS_EQUAL(3, choose_relay(book, {7}, "near", {}, start, random)->port_);
    const std::vector<settings::endpoint> tried{{"10.0.0.1", 3}};
    CHECK_FALSE(choose_relay(book, {7}, "near", tried, start, random).has_value());
    LONGS_EQUAL(2, choose_relay(book, {7}, "near", tried, start + relay_exclusion, random)->port_);
}

// Lists pass through hosts of other releases, which take the number of formats for a service.
TEST(reachability, a_host_names_the_formats_that_it_reads)
{
    announced_host said = host_at(7, "near", std::vector<service_hash>(20, 0xab));
    said.formats_ = peer::organisation_formats;
    const auto read = read_hosts(write_hosts(std::vector{said, host_at(8, "near", {0xcd})}));
    LONGS_EQUAL(peer::organisation_formats, read->at(0).formats_);
    LONGS_EQUAL(unreached_services_max, read->at(0).unreached_.size());
    CHECK(read->at(1) == host_at(8, "near", {0xcd}));
    STRCMP_EQUAL("10.0.0.1:8=near=cd;",
                 write_hosts(std::vector{host_at(8, "near", {0xcd})}).c_str());
    said.unreached_ = {0xab};
    STRCMP_EQUAL("10.0.0.1:7=near=ab,ffff0001;", write_hosts(std::vector{said}).c_str());

    relay_book book;
    on_hosts_learned(book, std::vector{said, host_at(8, "near")}, {"10.0.0.1", 9}, start);
    const relay_need need{7, peer::organisation_formats};
    for (int i = 0; i < 50; ++i) {
        LONGS_EQUAL(7, choose_relay(book, need, "near", {}, start, random)->port_);
    }
    on_relay_failed(book, said.relay_, start);
    CHECK_FALSE(choose_relay(book, need, "near", {}, start, random).has_value());
}

TEST(reachability, a_host_that_has_stopped_is_named)
{
    host_table table;
    on_host_heard(table, host_at(1, "near"), start);
    on_host_heard(table, host_at(2, "near"), start + 2s);
    const auto live = sample_hosts(table, "near", 10, start + host_lifetime, random);
    LONGS_EQUAL(1, live.size());
    LONGS_EQUAL(2, live[0].relay_.port_);
}

TEST(reachability, the_table_of_hosts_grows_without_end)
{
    host_table table;
    for (std::uint16_t port = 1; port <= host_table_max + 50; ++port) {
        on_host_heard(table, host_at(port, "near"), start);
    }
    LONGS_EQUAL(host_table_max, table.entries_.size());
    on_host_heard(table, host_at(5000, "far"), start + host_lifetime);
    LONGS_EQUAL(1, table.entries_.size());
}

TEST(reachability, a_host_that_names_itself_wrongly_is_not_served_the_directory)
{
    const announced_host said = host_at(77, "near-1", {0xab, 1});
    const std::string path = feed_path({1, 2, 3}, said);
    CHECK(*read_announced_host(path) == said);
    LONGS_EQUAL(3, read_feed_path(path)->version_);
    for (const std::string& odd :
         {std::string{""}, std::string{"="}, std::string{"10.0.0.1:0=a=;"},
          std::string{"10.0.0.1:99999=a=;"}, std::string{"10.0.0.1:1=a b=;"},
          std::string{"10.0.0.1:1=a=zz;"}, "10.0.0.1:1=" + std::string(100, 'a') + "=;",
          std::string{"10.0.0.1:1=a=1,2,3,4,5,6,7,8,9,a,b,c,d,e,f,10,11;"}}) {
        CHECK_TEXT(!read_announced_host("/directory?1.2.3&" + odd), odd.c_str());
        CHECK(read_feed_path("/directory?1.2.3&" + odd).has_value());
    }
}
