#include "peer/exchange.hpp"
#include "peer/fact_table.hpp"
#include "peer/wire.hpp"
#include "support/exchange_network.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace savoryscale;
using namespace savoryscale::peer;
using savoryscale::tests::exchange_network;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{};

fact drain(const std::string& subject, std::uint64_t version, std::uint32_t lifetime_s = 0)
{
    return {fact_kind::target_drain, subject, version, "", lifetime_s};
}

fact configuration(std::uint64_t version, std::size_t bytes)
{
    return {fact_kind::configuration, "", version, std::string(bytes, 'x'), 0};
}

bool same_tables(const exchange_network& network)
{
    const auto& first = network.hosts_.front();
    return std::all_of(network.hosts_.begin(), network.hosts_.end(), [&](const exchange& each) {
        return digest_of(each.table_, network.now_) == digest_of(first.table_, network.now_);
    });
}

std::size_t holders(const exchange_network& network, const fact_key& key, std::uint64_t version)
{
    return static_cast<std::size_t>(
        std::count_if(network.hosts_.begin(), network.hosts_.end(), [&](const exchange& each) {
            const fact* held = find(each.table_, key);
            return held != nullptr && held->version_ == version;
        }));
}

rc::Gen<fact> any_fact()
{
    return rc::gen::build<fact>(
        rc::gen::set(&fact::kind_, rc::gen::element(fact_kind::target_drain, fact_kind::suspicion)),
        rc::gen::set(&fact::subject_, rc::gen::element<std::string>("a", "b", "c")),
        rc::gen::set(&fact::version_, rc::gen::inRange<std::uint64_t>(0, 5)),
        rc::gen::set(&fact::payload_, rc::gen::element<std::string>("", "p", "q")));
}

} // namespace

TEST_GROUP(fact_table){};

TEST(fact_table, merge_is_commutative_and_idempotent)
{
    CHECK(rc::check("any order, with duplicates, gives the same table", [] {
        const auto facts = *rc::gen::container<std::vector<fact>>(any_fact());
        auto shuffled = facts;
        shuffled.insert(shuffled.end(), facts.begin(), facts.end());
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        fact_table left;
        fact_table right;
        for (const fact& each : facts) {
            merge(left, each, start);
        }
        for (const fact& each : shuffled) {
            merge(right, each, start);
        }
        RC_ASSERT(digest_of(left, start) == digest_of(right, start));
        RC_ASSERT(left.bytes_ == right.bytes_);
    }));
}

TEST(fact_table, never_accepts_an_older_version)
{
    fact_table table;
    CHECK(merge(table, drain("a", 7), start) == merge_result::changed);
    CHECK(merge(table, drain("a", 6), start) == merge_result::unchanged);
    CHECK(merge(table, drain("a", 7), start) == merge_result::unchanged);
    LONGS_EQUAL(7, find(table, {fact_kind::target_drain, "a"})->version_);
}

TEST(fact_table, removes_a_fact_when_its_lifetime_has_passed)
{
    fact_table table;
    merge(table, drain("a", 1, 10), start);
    CHECK(expire(table, start + milliseconds{9999}).empty());
    LONGS_EQUAL(1, expire(table, start + seconds{10}).size());
    LONGS_EQUAL(0, table.bytes_);
}

TEST(fact_table, the_lifetime_sent_never_grows)
{
    fact_table table;
    merge(table, drain("a", 1, 10), start);
    const held_fact& held = table.facts_.begin()->second;
    LONGS_EQUAL(10, with_remaining_lifetime(held, start).lifetime_s_);
    LONGS_EQUAL(6, with_remaining_lifetime(held, start + milliseconds{3001}).lifetime_s_);
    CHECK_FALSE(is_sendable(held, start + milliseconds{8001}));
}

TEST(fact_table, memory_is_bounded_and_the_first_fact_to_expire_is_evicted)
{
    fact_table table;
    table.limits_.facts_per_kind_ = 2;
    merge(table, drain("short", 1, 10), start);
    merge(table, drain("long", 1, 100), start);
    CHECK(merge(table, drain("shorter", 1, 5), start) == merge_result::refused);
    CHECK(merge(table, drain("middle", 1, 50), start) == merge_result::changed);
    POINTERS_EQUAL(nullptr, find(table, {fact_kind::target_drain, "short"}));
    table.limits_.payload_bytes_ = 100;
    CHECK(merge(table, configuration(1, 101), start) == merge_result::refused);
}

TEST_GROUP(wire){};

TEST(wire, decoding_restores_the_message)
{
    message sent;
    sent.kind_ = message_kind::facts;
    sent.sender_ = "host-1";
    sent.facts_ = {configuration(3, 100000), drain("photo/10.0.0.1:80", 9, 30)};
    sent.references_ = {{{fact_kind::host, "host-2"}, 5, 77}};
    sent.buckets_ = 5;
    sent.share_ = {"probes/photo", 11, 4};
    const std::string bytes = encode(sent);
    CHECK(bytes.size() < 1000); // the payload is compressed
    CHECK(sent == parse_message(bytes).value());
}

TEST(wire, rejects_garbage_and_oversized_data)
{
    CHECK_FALSE(parse_message("no message").has_value());
    CHECK_FALSE(parse_message("").has_value());
    CHECK_FALSE(parse_message(std::string(max_message_bytes + 1, '\0')).has_value());
    message sent;
    sent.kind_ = message_kind::facts;
    sent.sender_ = "host-1";
    sent.facts_ = {configuration(1, max_payload_bytes + 1)};
    CHECK_FALSE(parse_message(encode(sent)).has_value());
    sent.facts_ = {drain(std::string(max_name_bytes + 1, 's'), 1)};
    CHECK_FALSE(parse_message(encode(sent)).has_value());
}

TEST(wire, rejects_a_payload_that_does_not_decompress_to_its_stated_size)
{
    message sent;
    sent.kind_ = message_kind::facts;
    sent.sender_ = "host-1";
    sent.facts_ = {configuration(1, 5000)};
    std::string bytes = encode(sent);
    const std::string size_5000{"\x88\x27", 2};
    const std::size_t at = bytes.rfind(size_5000);
    CHECK(at != std::string::npos);
    bytes.replace(at, 2, std::string{"\x89\x27", 2});
    CHECK_FALSE(parse_message(bytes).has_value());
}

TEST(wire, tolerates_fields_and_kinds_of_newer_releases)
{
    message sent;
    sent.kind_ = static_cast<message_kind>(200);
    sent.sender_ = "host-1";
    const std::string unknown_field{"\xfa\x07\x03new", 6}; // field 127, bytes
    const result<message> received = parse_message(encode(sent) + unknown_field);
    CHECK(received.has_value());
    CHECK(received->kind_ == message_kind::unknown);
}

TEST(wire, decoding_restores_the_host_state)
{
    const host_state sent{"mobile", "gulf-south", {"10.0.0.1", 7000}, "key", 12, true, false, true};
    CHECK(sent == parse_host_state(encode(sent)).value());
    CHECK_FALSE(parse_host_state("\xff\xff").has_value());
}

TEST_GROUP(exchange){};

TEST(exchange, updates_reach_every_host_despite_drops_delays_and_duplicates)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        exchange_network network{13, seed};
        network.faults_ = {0.3, 0.2, milliseconds{800}};
        network.link_all();
        for (std::size_t i = 0; i < 40; ++i) {
            network.publish(i % 13, drain("t" + std::to_string(i % 7), i));
            network.publish((i * 5) % 13, configuration(i / 4, 3000));
            network.run(milliseconds{50});
        }
        network.run(seconds{30});
        CHECK(same_tables(network));
        LONGS_EQUAL(13, holders(network, {fact_kind::configuration, ""}, 9));
    }
}

TEST(exchange, updates_reach_every_host_within_three_seconds_without_faults)
{
    exchange_network network{17, 6};
    network.link_all();
    network.publish(3, drain("t", 1));
    network.publish(5, configuration(8, 50000));
    network.run(seconds{3});
    LONGS_EQUAL(17, holders(network, {fact_kind::target_drain, "t"}, 1));
    LONGS_EQUAL(17, holders(network, {fact_kind::configuration, ""}, 8));
}

TEST(exchange, a_reconnected_host_catches_up_and_reverts_no_other_host)
{
    exchange_network network{5, 7};
    network.link_all();
    network.publish(0, configuration(1, 10));
    network.run(seconds{1});
    network.isolate(4);
    network.publish(0, configuration(2, 10));
    network.run(seconds{5});
    LONGS_EQUAL(4, holders(network, {fact_kind::configuration, ""}, 2));
    network.reconnect(4);
    network.run(seconds{10});
    LONGS_EQUAL(5, holders(network, {fact_kind::configuration, ""}, 2));
}

TEST(exchange, expired_facts_do_not_reappear)
{
    exchange_network network{9, 8};
    network.faults_ = {0.2, 0.2, milliseconds{500}};
    network.link_all();
    network.publish(0, drain("t", 1, 20));
    network.run(seconds{10});
    LONGS_EQUAL(9, holders(network, {fact_kind::target_drain, "t"}, 1));
    network.run(seconds{15});
    LONGS_EQUAL(0, holders(network, {fact_kind::target_drain, "t"}, 1));
}

TEST(exchange, a_large_fact_is_sent_to_each_host_about_once)
{
    exchange_network network{13, 9};
    network.link_all();
    std::string noise;
    for (std::size_t i = 0; i < 100000; ++i) {
        noise.push_back(static_cast<char>(network.random_()));
    }
    network.publish(0, {fact_kind::configuration, "", 1, noise, 0});
    network.run(seconds{5});
    std::size_t total = 0;
    for (const std::size_t bytes : network.sent_bytes_) {
        total += bytes;
    }
    CHECK(total < 13 * noise.size());
    LONGS_EQUAL(13, holders(network, {fact_kind::configuration, ""}, 1));
}

TEST(exchange, fan_out_is_bounded)
{
    exchange_network network{40, 10};
    network.link_all();
    const auto actions = publish(network.hosts_[0], drain("t", 1), network.now_, network.random_);
    LONGS_EQUAL(network.hosts_[0].settings_.fan_out_, actions.send_.size());
}

TEST(exchange, digests_pause_while_the_byte_budget_is_exhausted)
{
    exchange_network network{2, 11};
    network.link_all();
    charge(network.hosts_[0], 1000000);
    network.run(seconds{20});
    LONGS_EQUAL(0, network.sent_bytes_[0]);
    network.run(seconds{200});
    CHECK(network.sent_bytes_[0] > 0);
}
