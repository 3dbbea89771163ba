// Names that another writer gives to objects of the store: every other object is still read, no
// call is malformed, and no name gets into a request but as one value.

#include "peer/feed_wire.hpp"
#include "platform/dialect.hpp"
#include "support/odd_names.hpp"
#include "support/running_routed_host.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace savoryscale;
using namespace savoryscale::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t page_max = 4;
const nlohmann::json foreign_entry{{"state", "ready"}, {"note", "of another writer"}};

std::string printed(const std::string& name)
{
    return percent_encoded(name.substr(0, 60));
}

nlohmann::json object_of(nlohmann::json spec)
{
    return {{"metadata", {{"revision", 5}, {"created", 1}}}, {"spec", std::move(spec)}};
}

// Targets whose names sort before "x", and after it.
named_objects targets(std::size_t before, std::size_t after)
{
    named_objects all;
    for (std::size_t i = 0; i < before; ++i) {
        all[fmt::format("a-{:02}", i)] = object_of(server_json(1000));
    }
    for (std::size_t i = 0; i < after; ++i) {
        all[fmt::format("z-{:02}", i)] = object_of(server_json(1000));
    }
    return all;
}

std::set<std::string> names_of(const named_objects& objects)
{
    std::set<std::string> names;
    for (const auto& [name, object] : objects) {
        names.insert(name);
    }
    return names;
}

// The names of the targets that a host knows once it has read the list; none if it never has.
std::set<std::string> targets_read(const named_objects& objects, std::size_t per_page,
                                   value_reading reading = value_reading::as_in_a_form)
{
    constexpr int calls_max = 200;
    random_source random{3};
    directory::follow_state state;
    for (int i = 0; i < calls_max; ++i) {
        const auto target = read_store_target(
            platform::dialect().call_path_("servers", next_call(state, {})), reading);
        if (!target && reading == value_reading::refused_if_encoded) {
            directory::on_call_failed(state, {}, random);
            continue;
        }
        if (!target) {
            return {};
        }
        if (target->path_.size() > 3) {
            const auto found = objects.find(target->path_[3]);
            std::optional<directory::stored_object> object;
            if (found != objects.end()) {
                object =
                    *platform::dialect().read_object_(object_text(found->first, found->second));
            }
            directory::on_object(state, std::move(object), 0, {});
            continue;
        }
        const auto after = target->query_.find("after");
        auto page = platform::dialect().read_list_(store_page(
            objects, after == target->query_.end() ? std::nullopt : std::optional{after->second},
            per_page, 9));
        if (!page) {
            return {};
        }
        const auto update = directory::on_list_page(state, std::move(*page), {});
        if (update.stalled_) {
            return {};
        }
        if (!update.complete_) {
            continue;
        }
        std::set<std::string> names;
        for (const directory::stored_object& each : update.objects_) {
            if (platform::dialect().read_target_(each.name_, each.value_)) {
                names.insert(each.name_);
            }
        }
        return names;
    }
    return {};
}

} // namespace

TEST_GROUP(store_names)
{
    scripted_store store;
    std::uint16_t next_port = 1000; // each target has an address of its own

    void setup() override
    {
        store.put("config", "main",
                  state_json(1, {route_json("look", "/look/", "safe", "ledger")}));
    }

    void put_targets(int count, const std::string& prefix)
    {
        for (int i = 0; i < count; ++i) {
            store.put("servers", fmt::format("{}-{:02}", prefix, i),
                      server_json(next_port++, "photos"));
        }
    }
};

// The call for the next page is malformed, or asks for another page: the list never ends.
TEST(store_names, an_odd_name_anywhere_on_a_page_hides_the_other_targets)
{
    for (const std::string& odd : odd_names()) {
        for (std::size_t before = page_max; before < 2 * page_max; ++before) {
            named_objects objects = targets(before, 14 - before);
            const auto wanted = names_of(objects);
            objects[odd] = object_of(foreign_entry);
            CHECK_TEXT(targets_read(objects, page_max) == wanted, printed(odd).c_str());
        }
    }
}

// No name on the page serves to continue the list as it is.
TEST(store_names, a_page_of_odd_names_only_hides_the_other_targets)
{
    named_objects all_odd = targets(5, 6);
    for (const std::string& odd : odd_names()) {
        named_objects objects = targets(3, 3);
        const auto wanted = names_of(objects);
        objects[odd] = object_of(foreign_entry);
        CHECK_TEXT(targets_read(objects, 1) == wanted, printed(odd).c_str());
        all_odd[odd] = object_of(foreign_entry);
    }
    for (std::size_t per_page = 1; per_page < 9; ++per_page) {
        CHECK(targets_read(all_odd, per_page) == names_of(targets(5, 6)));
    }
}

// Any names and pages, however the store reads names: all that need no encoding are found, and the
// others too where it decodes them.
TEST(store_names, a_list_of_any_names_lacks_usable_ones)
{
    random_source random{60};
    const std::vector<std::string> letters{"a", "Y",    "-",        "~", "2", "&", "+",
                                           "%", "\xff", "\xc3\xa9", "#", " ", "/", "!"};
    for (int run = 0; run < 4000; ++run) {
        std::vector<std::string> used; // few, so that many names sort next to each other
        while (used.size() < 4) {
            used.push_back(letters[uniform_below(random, letters.size())]);
        }
        named_objects objects;
        const std::uint64_t count = 1 + uniform_below(random, 12);
        for (std::uint64_t i = 0; i < count; ++i) {
            std::string name;
            for (std::uint64_t length = 1 + uniform_below(random, 3); name.size() < length;) {
                name += used[uniform_below(random, used.size())];
            }
            objects[name] = object_of(server_json(1000));
        }
        const std::size_t per_page = 1 + uniform_below(random, 4);
        for (const value_reading reading : value_readings) {
            std::set<std::string> wanted;
            for (const std::string& name : names_of(objects)) {
                const bool decoded = reading == value_reading::as_in_a_form ||
                                     reading == value_reading::percent_decoded;
                if (percent_encoded(name) == name ||
                    (decoded && platform::dialect().read_target_(name, server_json(1000)) &&
                     is_utf8(name))) {
                    wanted.insert(name);
                }
            }
            const auto read = targets_read(objects, per_page, reading);
            CHECK_TEXT(std::includes(read.begin(), read.end(), wanted.begin(), wanted.end()),
                       fmt::format("run {}", run).c_str());
        }
    }
}

// The list returns to its beginning, to other pages than before.
TEST(store_names, a_list_that_returns_to_other_pages_lacks_usable_names)
{
    named_objects objects;
    for (const char* name :
         {"!", "a", "b", "c", "d", "\xc3\xa9-1", "\xc3\xa9-2", "\xc3\xa9-3", "\xc3\xa9-4"}) {
        objects[name] = object_of(server_json(1000));
    }
    const auto read = targets_read(objects, 3, value_reading::as_it_stands);
    CHECK(read.count("a") + read.count("b") + read.count("c") + read.count("d") == 4);
}

// Guards a reader that refuses all changes of a response for one of them.
TEST(store_names, a_watch_that_tells_of_an_odd_name_hides_the_other_targets)
{
    for (const std::string& odd : odd_names()) {
        const auto event = [](const std::string& name, const nlohmann::json& spec) {
            return fmt::format(
                R"({{"deleted":false,"object":{{"metadata":{{"name":{},"revision":4}},"spec":{}}}}})",
                quoted_name(name), spec.dump());
        };
        const auto changes = platform::dialect().read_changes_(fmt::format(
            R"({{"events":[{},{},{}],"store_revision":9}})", event("i-1", server_json(1000)),
            event(odd, foreign_entry), event("i-2", server_json(1000))));
        CHECK_TEXT(changes.has_value(), printed(odd).c_str());
        STRCMP_EQUAL("i-1", changes->objects_.front().name_.c_str());
        STRCMP_EQUAL("i-2", changes->objects_.back().name_.c_str());
    }
}

// A name that is not escaped makes another call of a read, a write or a removal, or two.
TEST(store_names, the_path_of_an_object_names_another_one)
{
    for (const std::string& name : odd_names()) {
        if (name.empty() || name.size() > target_max_bytes) {
            continue;
        }
        const auto path = read_store_target(platform::dialect().object_path_("suspicions", name));
        CHECK_TEXT(path && path->query_.empty(), printed(name).c_str());
        CHECK_TEXT((path->path_ == std::vector<std::string>{"-", "objects", "suspicions", name}),
                   printed(name).c_str());
        const auto removal =
            read_store_target(platform::dialect().removal_path_("suspicions", name, 7));
        CHECK_TEXT(removal && removal->path_ == path->path_, printed(name).c_str());
        CHECK_TEXT(removal->query_.size() == 1 && removal->query_.at("revision") == "7",
                   printed(name).c_str());
    }
}

// Whatever the reader of the store accepts can be sent to targets and to other hosts.
TEST(store_names, a_whole_entry_under_an_odd_name_is_refused_on_some_hosts_only)
{
    for (const std::string& name : odd_names()) {
        if (!is_utf8(name)) {
            continue; // no reader of JSON gives such a string
        }
        const auto read = platform::dialect().read_target_(name, server_json(1000));
        const bool has_control = std::any_of(name.begin(), name.end(), [](unsigned char each) {
            return each < ' ' || each == '\x7f';
        });
        CHECK_TEXT(read.has_value() == (!has_control && !name.empty() && name.size() < 256),
                   printed(name).c_str());
        CHECK_TEXT(read || to_string(read.error()).size() < 600, printed(name).c_str());
        directory::feed_page page;
        page.targets_.push_back({read.value_or(directory::target_entry{}), false});
        page.targets_.back().entry_ = *platform::dialect().read_target_("i-1", server_json(1000));
        page.targets_.back().entry_.id_ = name;
        const auto fed = peer::read_feed_page(peer::write_feed_page(page));
        CHECK_TEXT(fed && fed->targets_.size() == (read ? 1U : 0U), printed(name).c_str());
    }
}

// As the users saw it; each host also repeated the malformed call without a pause.
TEST(store_names, a_host_that_starts_while_an_odd_name_ends_a_page_serves_nobody)
{
    store.set_page_size(page_max);
    put_targets(3, "a");
    put_targets(11, "z");
    for (const std::string& odd : odd_names()) {
        store.put("servers", odd, foreign_entry);
        const int calls = store.calls();
        running_routed_host host{store.port()};
        CHECK_TEXT(host.reaches(1, 14, "photos"), printed(odd).c_str());
        CHECK_TEXT(store.calls() - calls < 40, printed(odd).c_str());
        store.remove("servers", odd);
    }
}

// The page after an odd name is another one, or the same again, if the store reads it differently.
TEST(store_names, a_store_that_reads_names_in_its_own_way_hides_the_other_targets)
{
    put_targets(3, "a");
    put_targets(3, "z");
    // Plain names that sort just above those of the other writer.
    for (const char* name : {"-", "x-", "x0", "xA", "x_", "xa", "x~", "y"}) {
        store.put("servers", name, server_json(next_port++, "photos"));
    }
    const auto check = [this](const std::string& what) {
        for (const value_reading reading : value_readings) {
            store.set_reading(reading);
            for (const std::size_t per_page : {1, 4}) {
                store.set_page_size(per_page);
                const int calls = store.calls();
                running_routed_host host{store.port()};
                CHECK_TEXT(host.reaches(1, 14, "photos"), what.c_str());
                CHECK_TEXT(store.calls() - calls < 120, what.c_str());
            }
        }
    };
    std::vector<std::string> odd = odd_names();
    odd.insert(odd.end(), {"&", "\xc3\xa9", "\xff", "x~\xff", std::string(300, '\xff')});
    for (const std::string& name : odd) {
        store.put("servers", name, foreign_entry);
        check(printed(name));
        store.remove("servers", name);
    }
    for (const std::string& name : odd) {
        store.put("servers", name, foreign_entry);
    }
    check("all odd names");
}

// Guards a list that passes over odd names although the store reads them as they were sent.
TEST(store_names, a_whole_entry_under_an_odd_name_is_passed_over)
{
    std::size_t whole = 0;
    for (const char* name : {"x y", "x#y", "x%y", "x&y", "x+y", "x/y", "x\xc3\xa9", "x&z"}) {
        store.put("servers", name, server_json(next_port++, "photos"));
        ++whole;
    }
    put_targets(2, "z");
    for (const value_reading reading :
         {value_reading::as_in_a_form, value_reading::percent_decoded}) {
        store.set_reading(reading);
        for (const std::size_t per_page : {1, 3}) {
            store.set_page_size(per_page);
            running_routed_host host{store.port()};
            CHECK(host.reaches(1, whole + 2, "photos"));
        }
    }
}

// A page of one megabyte of objects is up to six where its text is escaped.
TEST(store_names, a_page_of_escaped_text_hides_the_other_targets)
{
    put_targets(7, "a");
    put_targets(7, "z");
    for (int i = 0; i < 250; ++i) {
        store.put("servers", fmt::format("x-{}", i), {{"note", std::string(4000, '\x01')}});
    }
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 14, "photos"));
}

// A CR LF in the id ends the field that names the expected instance.
TEST(store_names, the_name_of_an_entry_adds_a_field_to_the_requests_of_its_target)
{
    std::atomic<int> injected = 0;
    const fake_upstream target{[&](script_connection& connection, int) {
        for (std::string request = connection.read_request(); !request.empty();
             request = connection.read_request()) {
            injected += request.find("\r\nX-Injected") != std::string::npos ? 1 : 0;
            connection.send(
                ok_answer("", fmt::format("X-Id: {}\r\nX-Seal: s\r\nX-Load: 0,0,2,100\r\n",
                                          field_of(request, "X-Id"))));
        }
    }};
    store.put("servers", "x\r\nX-Injected: 1", server_json(target.port()));
    store.put("servers", "i-1", server_json(1000, "photos"));
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 1, "photos"));
    test_client caller{host.port()};
    for (int i = 0; i < 4; ++i) {
        caller.send("GET /look/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 11\r\n\r\n");
        CHECK(caller.read_answer().starts_with("HTTP/1.1 "));
    }
    LONGS_EQUAL(0, injected);
}

// Pages that come again and again are not the list: what they lack has not left.
TEST(store_names, targets_are_lost_to_a_list_that_does_not_move_on)
{
    put_targets(6, "a");
    running_routed_host host{store.port()};
    CHECK(host.reaches(1, 6, "photos"));
    named_objects first;
    first["a-00"] = object_of(server_json(1000, "photos"));
    first["b"] = object_of(foreign_entry);
    const int calls = store.calls();
    store.set_answer(ok_answer(store_page(first, std::nullopt, 1, 900), "Store-Era: 1\r\n"));
    std::this_thread::sleep_for(1s);
    CHECK(store.calls() - calls < 40);
    CHECK(host.reaches(1, 6, "photos"));
}
