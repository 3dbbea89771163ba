// Reading what the users' platform writes, and rejecting or skipping what is malformed.

#include "platform/dialect.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h> // last: it redefines new

using namespace savoryscale;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const json server = json::parse(R"({"service":"huvo11a","address":"10.128.0.9:8080",
    "zone":"mobile-a","version":"v1","slots":2,"state":"ready","warmup_left_s":1.5,"sequence":4})");

const json state = json::parse(R"({"version":"r7","routes":[
    {"name":"r-a","host":"ficu95.example","path_prefix":"/lohu930/","route_type":"safe","timeout_s":1,
     "latency_goal_s":0.3,"priority":2,"max_attempts":2,
     "traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]},
    {"name":"r-x","host":"ficu95.example","path_prefix":"/pufi791/","route_type":"unsafe",
     "timeout_s":1.2,"latency_goal_s":0.4,"priority":1,"service":"huvo11a","max_attempts":2},
    {"name":"r-d","host":"ficu95.example","path_prefix":"/pule252/","route_type":"download",
     "timeout_s":1,"service":"wuno96b","max_attempts":2}],
  "services":[{"name":"huvo11a","health_path":"/health","max_conns":220,"protocol":"h1","tls":false},
              {"name":"wuno96b","health_path":"/hp","max_conns":220,"protocol":"h1","tls":false}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
            "idle_timeout_s":15},"base_version":"r5"})");

bool is_rejected(const char* field, const json& value)
{
    json malformed = server;
    if (value.is_null()) {
        malformed.erase(field);
    }
    else {
        malformed[field] =
            json::parse(value.dump()); // reparsed, so that number types are those of parsed input
    }
    return !platform::dialect().read_target_("i-1", malformed).has_value();
}

} // namespace

TEST_GROUP(platform_adapter)
{
    const directory::dialect& store_dialect = platform::dialect();
};

TEST(platform_adapter, reads_a_server_entry)
{
    const auto entry = store_dialect.read_target_("i-1", server);
    CHECK(entry.has_value());
    STRCMP_EQUAL("huvo11a", entry->service_.c_str());
    STRCMP_EQUAL("10.128.0.9", entry->address_.ip_.c_str());
    LONGS_EQUAL(8080, entry->address_.port_);
    LONGS_EQUAL(2, entry->slots_);
    CHECK(!entry->leaving_);
    CHECK(entry->warm_up_ == 1500ms);
    json leaving = server;
    leaving["state"] = "draining";
    leaving["born"] = std::uint64_t{1'765'000'000'000};
    CHECK(store_dialect.read_target_("i-1", leaving)->leaving_);
    LONGS_EQUAL(1'765'000'000'000, store_dialect.read_target_("i-1", leaving)->born_ms_);
}

TEST(platform_adapter, an_upload_is_never_repeated_and_has_large_bodies)
{
    json uploads = state;
    uploads["routes"][1]["route_type"] = "upload";
    const auto read = store_dialect.read_desired_state_(uploads);
    CHECK(read.has_value());
    CHECK(read->routes_[1].repeat_ == routes::repeat_rule::never);
    CHECK(read->routes_[1].has_large_bodies_);
    CHECK(!read->routes_[0].has_large_bodies_);
    CHECK(!read->routes_[2].has_large_bodies_);
}

TEST(platform_adapter, rejects_a_malformed_server_entry)
{
    for (const char* field :
         {"service", "address", "zone", "version", "slots", "state", "warmup_left_s", "sequence"}) {
        CHECK(is_rejected(field, json{}));
        CHECK(is_rejected(field, json::object()));
    }
    CHECK(is_rejected("state", "gone"));
    CHECK(is_rejected("slots", 0));
    CHECK(is_rejected("slots", -2));
    CHECK(is_rejected("address", "10.128.0.9"));
    CHECK(is_rejected("address", "host.example:80"));
    CHECK(is_rejected("address", "10.128.0.9:99999"));
    CHECK(is_rejected("born", "yesterday"));
    CHECK(is_rejected("born", 1.5));
    CHECK(!store_dialect.read_target_("i-1", json{}).has_value());
    CHECK(!store_dialect.read_target_("i-1", json("text")).has_value());
}

TEST(platform_adapter, reads_all_parts_of_a_desired_state)
{
    const auto read = store_dialect.read_desired_state_(state);
    CHECK(read.has_value());
    LONGS_EQUAL(7, read->version_);
    LONGS_EQUAL(3, read->routes_.size());
    const routes::route& split = read->routes_[0];
    LONGS_EQUAL(2, split.weighted_services_.size());
    DOUBLES_EQUAL(10, split.weighted_services_[1].weight_, 0);
    CHECK(split.timeout_ == 1s);
    CHECK(split.latency_objective_ == 300ms);
    LONGS_EQUAL(2, split.attempts_max_);
    CHECK(split.repeat_ == routes::repeat_rule::always);
    CHECK(read->routes_[1].repeat_ == routes::repeat_rule::never);
    CHECK(read->routes_[2].repeat_ == routes::repeat_rule::always);
    STRCMP_EQUAL("/hp", read->services_[1].probe_path_.c_str());
    LONGS_EQUAL(220, read->services_[0].connections_per_target_);
    CHECK(read->limits_.header_timeout_ == 3s);
    CHECK(read->limits_.idle_timeout_ == 15s);
}

TEST(platform_adapter, requests_of_an_unknown_route_type_are_never_repeated)
{
    json other = state;
    other["routes"][0]["route_type"] = "keyed";
    CHECK(store_dialect.read_desired_state_(other)->routes_[0].repeat_ ==
          routes::repeat_rule::never);
}

TEST(platform_adapter, rejects_an_incomplete_desired_state)
{
    for (const char* part : {"version", "routes", "services"}) {
        json malformed = state;
        malformed.erase(part);
        CHECK(!store_dialect.read_desired_state_(malformed).has_value());
    }
    json malformed = state;
    malformed["version"] = "12";
    CHECK(!store_dialect.read_desired_state_(malformed).has_value());
    malformed = state;
    malformed["routes"][1].erase("service");
    CHECK(!store_dialect.read_desired_state_(malformed).has_value());
}

TEST(platform_adapter, reads_lists_and_changes_and_skips_objects_without_a_name)
{
    const auto page = store_dialect.read_list_(
        R"({"items":[{"metadata":{"name":"i-1","revision":5,"created":3},"spec":{"a":1}},{"spec":{}},7],
            "has_more":true,"store_revision":530})");
    CHECK(page.has_value());
    CHECK(page->more_);
    LONGS_EQUAL(530, page->revision_);
    LONGS_EQUAL(1, page->objects_.size());
    const auto changes = store_dialect.read_changes_(
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"i-1","revision":6}}},
                      {"deleted":false,"object":{"metadata":{"name":"i-2","deleting":true},"spec":1}}],
            "store_revision":533})");
    CHECK(changes.has_value());
    CHECK(changes->objects_[0].removed_);
    CHECK(changes->objects_[1].removed_);
    CHECK(!store_dialect.read_list_("{").has_value());
    CHECK(!store_dialect.read_list_(R"({"items":[]})").has_value());
    CHECK(!store_dialect.read_changes_(R"({"events":7,"store_revision":1})").has_value());
}

TEST(platform_adapter, builds_list_and_watch_paths)
{
    STRCMP_EQUAL("/-/objects/servers", store_dialect.call_path_("servers", {}).c_str());
    STRCMP_EQUAL("/-/objects/servers?after=i-7",
                 store_dialect.call_path_("servers", {false, "i-7", 0, {}, false}).c_str());
    STRCMP_EQUAL("/-/objects/servers?after=i-7&serializable=1",
                 store_dialect.call_path_("servers", {false, "i-7", 0, {}, true}).c_str());
    STRCMP_EQUAL("/-/objects/servers?serializable=1",
                 store_dialect.call_path_("servers", {false, "", 0, {}, true}).c_str());
    STRCMP_EQUAL("/-/objects/config?watch=530&wait_ms=20000",
                 store_dialect.call_path_("config", {true, {}, 530, 20s, false}).c_str());
}

namespace {

// Values that a document may hold anywhere in place of the expected one.
std::vector<json> odd_values()
{
    json deep = json::array();
    for (int i = 0; i < 200; ++i) {
        deep = json::array({deep});
    }
    return {json{},
            true,
            -1,
            1e308,
            -1e308,
            std::numeric_limits<std::uint64_t>::max(),
            std::numeric_limits<std::int64_t>::min(),
            "",
            "r99999999999999999999",
            std::string(70000, 'x'),
            "10.0.0.1:99999",
            json::array(),
            json::object(),
            json::array({json::object(), 5}),
            deep};
}

// Calls `read` with each odd value in the place of each member of the document. Returns how often.
template<class Read>
int read_variants(const json& document, const Read& read)
{
    std::set<std::string> places{""};
    const json flat = document.flatten();
    for (const auto& [pointer, value] : flat.items()) {
        for (std::string place = pointer; !place.empty(); place.erase(place.rfind('/'))) {
            places.insert(place);
        }
    }
    int count = 0;
    for (const std::string& place : places) {
        for (const json& odd : odd_values()) {
            json changed = document;
            changed[json::json_pointer{place}] = odd;
            read(changed.dump());
            ++count;
        }
    }
    return count;
}

} // namespace

// Whatever the store or another writer puts into a document, reading it ends with a value or an
// error, never with an exception, which would end the process.
TEST(platform_adapter, no_document_makes_a_reader_throw)
{
    const auto read_value = [&](const std::string& text) {
        const json value = json::parse(text, nullptr, false);
        std::ignore = store_dialect.read_desired_state_(value);
        std::ignore = store_dialect.read_target_("i-1", value);
    };
    CHECK(read_variants(state, read_value) > 500);
    CHECK(read_variants(server, read_value) > 100);
    const json object{{"metadata", {{"name", "main"}, {"revision", 5}, {"created", 4}}},
                      {"spec", server}};
    const json list{
        {"items", json::array({object, object})}, {"has_more", true}, {"store_revision", 9}};
    const json changes{{"events", json::array({json{{"object", object}, {"deleted", false}}})},
                       {"store_revision", 9}};
    const auto read_text = [&](const std::string& text) {
        std::ignore = store_dialect.read_list_(text);
        std::ignore = store_dialect.read_changes_(text);
    };
    CHECK(read_variants(list, read_text) > 300);
    CHECK(read_variants(changes, read_text) > 150);
    const std::string whole = list.dump();
    for (std::size_t length = 0; length < whole.size(); ++length) {
        read_text(whole.substr(0, length)); // broken off
    }
    read_text(std::string(100000, '['));
    read_text("\xff\xfe{}");
}

TEST(platform_adapter, one_odd_entry_hides_all_other_targets)
{
    const auto item = [](const std::string& name, const std::string& spec) {
        return R"({"metadata":{"name":")" + name + R"(","revision":4,"created":1},"spec":)" + spec +
               "}";
    };
    const auto with = [](const std::string& field, const std::string& value) {
        json spec = server;
        spec.erase(field);
        std::string text = spec.dump();
        return text.insert(1, "\"" + field + "\":" + value + ",");
    };
    constexpr std::size_t depth = 400000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    std::string deep_object;
    for (std::size_t i = 0; i < depth / 4; ++i) {
        deep_object += R"({"a":)";
    }
    deep_object += "1" + std::string(depth / 4, '}');
    for (const std::string& odd :
         {deep, deep_object, with("slots", "1e999"), with("slots", "-1e400"),
          with("address", R"("10.128.0.9:99999")"), with("slots", std::string(400, '9')),
          with("service", deep), with("service", "\"\xff\xfe\""),
          with("warmup_left_s", std::string(400, '9') + ".5")}) {
        const std::string text = R"({"items":[)" + item("i-1", server.dump()) + "," +
                                 item("odd", odd) + "," + item("i-2", server.dump()) +
                                 R"(],"has_more":false,"store_revision":9})";
        const auto page = platform::dialect().read_list_(text);
        CHECK_TEXT(page.has_value(), odd.substr(0, 60).c_str());
        std::set<std::string> used;
        for (const directory::stored_object& object : page->objects_) {
            const directory::stored_object copy = object;
            if (platform::dialect().read_target_(copy.name_, copy.value_)) {
                used.insert(copy.name_);
            }
        }
        CHECK_TEXT((used == std::set<std::string>{"i-1", "i-2"}), odd.substr(0, 60).c_str());
        const std::string changes = R"({"events":[{"object":)" + item("odd", odd) +
                                    R"(,"deleted":false},{"object":)" + item("i-2", server.dump()) +
                                    R"(,"deleted":false}],"store_revision":9})";
        const auto changed = platform::dialect().read_changes_(changes);
        CHECK_TEXT(changed && changed->objects_.size() == 2, odd.substr(0, 60).c_str());
    }
}

TEST(platform_adapter, reads_organisations_and_refuses_malformed_ones)
{
    CHECK(!store_dialect.read_desired_state_(state)->organisations_);
    CHECK(store_dialect.read_desired_state_(state)->routes_[0].needs_key_);
    json with = state;
    with["routes"][0]["public"] = true;
    with["services"][0]["warmup_s"] = 3.0;
    with["services"][0]["cold_per_s"] = 6.3;
    with["tenants"] = json::parse(R"([{"name":"kaje80","api_keys":["k1","k2"],"priority":1,
        "rate_per_s":288,"burst":12.5},{"name":"b","api_keys":[]},{"name":"c"}])");
    const auto read = store_dialect.read_desired_state_(with);
    CHECK(read.has_value());
    CHECK(!read->routes_[0].needs_key_ && read->routes_[1].needs_key_);
    CHECK(read->services_[0].warm_up_ == 3s);
    DOUBLES_EQUAL(6.3, read->services_[0].cold_per_second_, 0);
    LONGS_EQUAL(3, read->organisations_->size());
    const organisations::organisation& first = read->organisations_->front();
    CHECK((first == organisations::organisation{"kaje80", {"k1", "k2"}, 1, {288, 12.5}}));
    CHECK(!read->organisations_->at(1).priority_);
    with["tenants"] = json::array();
    CHECK(store_dialect.read_desired_state_(with)->organisations_->empty());
    for (const char* odd :
         {R"({})", R"([{"api_keys":["k1"]}])", R"([{"name":"a","api_keys":"k1"}])",
          R"([{"name":"a","api_keys":[7]}])", R"([{"name":"a","api_keys":[],"rate_per_s":"9"}])",
          R"([{"name":"a","api_keys":[],"burst":-1}])",
          R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])"}) {
        with["tenants"] = json::parse(odd);
        CHECK_TEXT(!store_dialect.read_desired_state_(with).has_value(), odd);
    }
}
