#include "base/file.hpp"
#include "plans/applier.hpp"
#include "plans/change.hpp"
#include "plans/config_tracker.hpp"
#include "plans/configuration.hpp"
#include "plans/edited_file.hpp"
#include "settings/parse.hpp"
#include "store/object_api.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

using namespace savoryscale;
using namespace savoryscale::plans;
using store::call_status;
using store::object_reply;

namespace {

constexpr std::int64_t now_ms = 1764826000000;

// Returns the text of a file with these members and no base.
std::string file_text(const std::string& customers, const std::string& plans)
{
    return fmt::format(R"({{"customers": {{{}}}, "plans": {{{}}}}})", customers, plans);
}

// Returns the text of a plan with an allowance for the ledger.
std::string plan_text(const std::string& name, int concurrency = 4)
{
    return fmt::format(R"("{}": {{"ledger": {{"calls_per_second": 40, "burst_calls": 80,
                       "concurrency": {}}}}})",
                       name, concurrency);
}

edited_file parsed(const std::string& text)
{
    auto file = parse_edited_file(text, "lists.json");
    for (const auto& failure : file ? std::vector<error>{} : file.error()) {
        FAIL(to_string(failure).c_str());
    }
    return *file;
}

// Pulls a new file from these lists.
edited_file pull(const configuration& stored)
{
    return parsed(print_edited_file(stored));
}

configuration applied(const configuration& stored, const edited_file& file)
{
    change_result result = apply_change(stored, file, now_ms);
    CHECK(result.change_outcome_ == change_outcome::applied);
    return result.next_;
}

void put_customer(edited_file& file, const std::string& name, const std::string& on_plan)
{
    auto& customers = file.lists_.customers_;
    for (customer& each : customers) {
        if (each.name_ == name) {
            each.plan_ = on_plan;
            return;
        }
    }
    customers.push_back({name, on_plan, {}});
    std::sort(customers.begin(), customers.end(),
              [](const customer& a, const customer& b) { return a.name_ < b.name_; });
}

void remove_customer(edited_file& file, const std::string& name)
{
    auto& customers = file.lists_.customers_;
    customers.erase(std::remove_if(customers.begin(), customers.end(),
                                   [&](const customer& each) { return each.name_ == name; }),
                    customers.end());
}

// Customers a and b on the plan low; plans low and high.
configuration start_lists()
{
    return applied({}, parsed(file_text(R"("a": "low", "b": "low")",
                                        plan_text("low") + "," + plan_text("high"))));
}

std::string plan_of(const configuration& stored, const std::string& name)
{
    for (const customer& each : stored.lists_.customers_) {
        if (each.name_ == name) {
            return each.plan_;
        }
    }
    return "";
}

std::string errors_of(const change_result& result)
{
    std::string text;
    for (const error& each : result.errors_) {
        text += to_string(each) + "\n";
    }
    return text;
}

} // namespace

TEST_GROUP(lists_file){};

TEST(lists_file, reads_comments_and_defaults)
{
    const auto file = parsed("// sorters\n" + file_text(R"("a": "low")", plan_text("low")));
    LONGS_EQUAL(1, file.lists_.customers_.size());
    CHECK(file.lists_.plans_.at(0).allowances_.at(0).priority_ == priority::normal);
    LONGS_EQUAL(0, file.base_version_);
}

TEST(lists_file, reports_all_errors_in_one_pass)
{
    const std::string text = R"({
        "customers": {"a": "none", "a": "low", "b c": "low", "d": 3},
        "plans": {"low": {
            "ledger": {"calls_per_second": -1, "burst_calls": 0, "concurrency": 1.5,
                       "priority": "top", "colour": 1},
            "photos": {"burst_calls": 1, "concurrency": 1}}},
        "plan": {}})";
    const std::vector<std::string> services{"ledger"};
    const auto file = parse_edited_file(text, "f", services);
    CHECK_FALSE(file.has_value());
    for (const std::string where :
         {"/customers/a", "/customers/b c", "/customers/d", "/plans/low/ledger/calls_per_second",
          "/plans/low/ledger/burst_calls", "/plans/low/ledger/concurrency",
          "/plans/low/ledger/priority", "/plans/low/ledger/colour",
          "/plans/low/photos/calls_per_second", "/plans/low/photos", "/plan"}) {
        const bool found =
            std::any_of(file.error().begin(), file.error().end(), [&](const error& each) {
                return each.where_ == "f#" + where && !each.remedy_.empty();
            });
        CHECK_TEXT(found, where.c_str());
    }
}

TEST(lists_file, reports_an_unknown_plan)
{
    const auto file = parse_edited_file(file_text(R"("a": "gone")", plan_text("low")), "f");
    CHECK_FALSE(file.has_value());
    CHECK_EQUAL(std::string{"f#/customers/a"}, file.error().at(0).where_);
}

TEST(lists_file, canonical_text_is_stable)
{
    const configuration stored = start_lists();
    const std::string text = print(stored);
    const auto again = parse_configuration(text, "stored");
    CHECK(again.has_value());
    CHECK(stored == *again);
    CHECK_EQUAL(text, print(*again));
}

TEST(lists_file, rejects_text_larger_than_a_stored_value)
{
    const std::string text(max_configuration_bytes + 1, ' ');
    const auto stored = parse_configuration(text, "stored");
    CHECK(stored.error().at(0).kind_ == error_kind::exhausted);
}

TEST(lists_file, refuses_lists_larger_than_a_stored_value)
{
    edited_file file = pull(start_lists());
    for (int i = 0; i < 20'000; ++i) {
        file.lists_.customers_.push_back({fmt::format("customer-{:05}", i), "low", {}});
    }
    const change_result result = apply_change(start_lists(), file, now_ms);
    CHECK(result.change_outcome_ == change_outcome::refused_invalid);
    CHECK(result.next_ == start_lists());
}

TEST(lists_file, example_lists_apply_with_the_services_in_their_settings)
{
    for (const std::string user : {"calloway", "pernoctas"}) {
        const auto settings = settings::load("examples/" + user + "/settings.json");
        CHECK(settings.has_value());
        std::vector<std::string> services;
        for (const auto& service : settings->services_) {
            services.push_back(service.name_);
        }
        const auto text = read_file("examples/" + user + "/lists.json");
        const auto file = parse_edited_file(*text, user, services);
        CHECK(file.has_value());
        applied({}, *file);
    }
}

TEST_GROUP(change_rules){};

TEST(change_rules, a_repeated_change_is_already_in_force)
{
    edited_file file = pull(start_lists());
    put_customer(file, "a", "high");
    const configuration after = applied(start_lists(), file);
    const change_result rerun = apply_change(after, file, now_ms);
    CHECK(rerun.change_outcome_ == change_outcome::already_in_force);
    CHECK(rerun.next_ == after);
}

TEST(change_rules, a_repeated_change_never_reverts_a_later_one)
{
    edited_file first = pull(start_lists());
    put_customer(first, "a", "high");
    configuration stored = applied(start_lists(), first);
    edited_file later = pull(stored);
    put_customer(later, "a", "low"); // the same content as in the first file's base
    stored = applied(stored, later);
    const change_result rerun = apply_change(stored, first, now_ms);
    CHECK(rerun.change_outcome_ == change_outcome::refused_stale);
    CHECK(rerun.next_ == stored);
    STRCMP_CONTAINS("/customers/a", errors_of(rerun).c_str());
    STRCMP_CONTAINS("at version 3, 2025-12-04", errors_of(rerun).c_str());
}

TEST(change_rules, a_repeated_change_does_not_restore_a_removed_entry)
{
    edited_file add = pull(start_lists());
    put_customer(add, "c", "high");
    configuration stored = applied(start_lists(), add);
    edited_file remove = pull(stored);
    remove_customer(remove, "c");
    stored = applied(stored, remove);
    CHECK(apply_change(stored, add, now_ms).change_outcome_ == change_outcome::refused_stale);
    CHECK(apply_change(stored, remove, now_ms).change_outcome_ == change_outcome::already_in_force);
}

TEST(change_rules, an_addition_with_a_base_below_the_floor_is_stale)
{
    edited_file add = pull(start_lists());
    put_customer(add, "c", "high");
    configuration stored = applied(start_lists(), add);
    edited_file remove = pull(stored);
    remove_customer(remove, "c");
    stored = applied(stored, remove);
    const edited_file before = pull(stored);
    edited_file add_many = before;
    for (std::size_t i = 0; i < max_tombstones; ++i) {
        add_many.lists_.customers_.push_back({fmt::format("x{:04}", i), "low", {}});
    }
    stored = applied(stored, add_many);
    edited_file remove_many = pull(stored);
    remove_many.lists_ = before.lists_;
    stored = applied(stored, remove_many);
    LONGS_EQUAL(3, stored.floor_); // the removal of c is no longer recorded
    stored.recent_.clear();
    CHECK(apply_change(stored, add, now_ms).change_outcome_ == change_outcome::refused_stale);
}

TEST(change_rules, concurrent_changes_to_different_entries_are_both_applied)
{
    edited_file one = pull(start_lists());
    edited_file other = one;
    put_customer(one, "a", "high");
    put_customer(other, "b", "high");
    const configuration stored = applied(applied(start_lists(), one), other);
    CHECK_EQUAL(std::string{"high"}, plan_of(stored, "a"));
    CHECK_EQUAL(std::string{"high"}, plan_of(stored, "b"));
}

TEST(change_rules, the_later_of_two_concurrent_changes_to_one_entry_is_refused)
{
    edited_file one = pull(start_lists());
    edited_file other = one;
    put_customer(one, "a", "high");
    remove_customer(other, "a");
    put_customer(other, "b", "high");
    const configuration stored = applied(start_lists(), one);
    const change_result result = apply_change(stored, other, now_ms);
    CHECK(result.change_outcome_ == change_outcome::refused_conflict);
    CHECK(result.next_ == stored);
    STRCMP_CONTAINS("/customers/a: was set by another change at version 2",
                    errors_of(result).c_str());
}

TEST(change_rules, a_plan_is_not_removed_while_a_concurrent_change_uses_it)
{
    edited_file one = pull(start_lists());
    edited_file other = one;
    put_customer(one, "a", "high");
    other.lists_.plans_.erase(other.lists_.plans_.begin()); // high
    const change_result first = apply_change(applied(start_lists(), one), other, now_ms);
    CHECK(first.change_outcome_ == change_outcome::refused_conflict);
    STRCMP_CONTAINS("/customers/a", errors_of(first).c_str());
    const change_result second = apply_change(applied(start_lists(), other), one, now_ms);
    CHECK(second.change_outcome_ == change_outcome::refused_conflict);
    STRCMP_CONTAINS("/plans/high", errors_of(second).c_str());
}

TEST(change_rules, a_base_newer_than_the_stored_lists_is_stale)
{
    edited_file file = pull(start_lists());
    put_customer(file, "a", "high");
    CHECK(apply_change({}, file, now_ms).change_outcome_ == change_outcome::refused_stale);
}

TEST(change_rules, a_base_pulled_from_different_lists_is_stale)
{
    edited_file file = pull(start_lists());
    put_customer(file, "a", "high");
    const configuration other =
        applied({}, parsed(file_text(R"("a": "mid")", plan_text("mid") + "," + plan_text("high"))));
    CHECK(apply_change(other, file, now_ms).change_outcome_ == change_outcome::refused_stale);
}

TEST_GROUP(applying)
{
    random_source random_{7};
    edited_file file_ = pull(start_lists());
    applier state_;
    applier_step step_;

    void setup() override
    {
        put_customer(file_, "a", "high");
        state_ = make_applier(file_, {});
        step_ = first_step(state_);
    }
    void answer(call_status status, const configuration* stored = nullptr,
                std::uint64_t object_version = 0)
    {
        object_reply reply{status, {}};
        if (stored != nullptr) {
            reply.objects_.push_back({"configuration", print(*stored), object_version});
        }
        step_ = on_reply(state_, reply, now_ms, random_);
    }
};

TEST(applying, writes_conditionally_on_the_version_read)
{
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    CHECK(step_.action_ == applier_action::update);
    LONGS_EQUAL(9, step_.expected_version_);
    answer(call_status::ok);
    CHECK(step_.report_.apply_outcome_ == apply_outcome::applied);
    LONGS_EQUAL(2, step_.report_.version_);
}

TEST(applying, reads_again_after_a_write_conflict)
{
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    answer(call_status::conflict);
    CHECK(step_.action_ == applier_action::read);
    const configuration same = applied(stored, file_);
    answer(call_status::ok, &same, 10);
    CHECK(step_.report_.apply_outcome_ == apply_outcome::already_in_force);
}

TEST(applying, resolves_a_lost_answer_by_reading)
{
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    answer(call_status::unknown);
    CHECK(step_.action_ == applier_action::read);
    answer(call_status::ok, &stored, 9); // a stale read, or the write is still in flight
    CHECK(step_.action_ == applier_action::read);
    configuration later = applied(stored, file_);
    edited_file overriding = pull(later);
    put_customer(overriding, "a", "low");
    later = applied(later, overriding);
    answer(call_status::ok, &later, 11);
    CHECK(step_.report_.apply_outcome_ == apply_outcome::applied);
    LONGS_EQUAL(2, step_.report_.version_);
}

TEST(applying, a_lost_write_that_never_appears_is_unknown_and_not_resent)
{
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    answer(call_status::unknown);
    while (step_.action_ == applier_action::read) {
        answer(call_status::ok, &stored, 9);
    }
    CHECK(step_.action_ == applier_action::done);
    CHECK(step_.report_.apply_outcome_ == apply_outcome::unknown);
}

TEST(applying, a_lost_write_is_retried_if_another_change_preceded_it)
{
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    answer(call_status::unknown);
    edited_file other = pull(stored);
    put_customer(other, "b", "high");
    const configuration moved = applied(stored, other);
    answer(call_status::ok, &moved, 10);
    CHECK(step_.action_ == applier_action::update);
    LONGS_EQUAL(10, step_.expected_version_);
}

TEST(applying, reads_again_when_the_lists_are_older_than_the_base)
{
    answer(call_status::not_found);
    CHECK(step_.action_ == applier_action::read);
    const configuration stored = start_lists();
    answer(call_status::ok, &stored, 9);
    CHECK(step_.action_ == applier_action::update);
}

TEST(applying, the_outcome_is_unknown_without_an_answer)
{
    while (step_.action_ == applier_action::read) {
        answer(call_status::unavailable);
    }
    CHECK(step_.report_.apply_outcome_ == apply_outcome::unknown);
}

TEST_GROUP(configuration_tracking)
{
    random_source random_{7};
    time_point now_{};
    config_tracker state_ = make_config_tracker({}, now_, random_);

    config_tracker_actions reply(call_status status, const configuration* stored = nullptr,
                                 std::uint64_t object_version = 0)
    {
        object_reply answer{status, {}};
        if (stored != nullptr) {
            answer.objects_.push_back({"configuration", print(*stored), object_version});
        }
        return on_store_reply(state_, answer, now_, random_);
    }
    void pass(duration time)
    {
        now_ += time;
    }
    config_tracker_actions start_read()
    {
        pass(std::chrono::seconds{1});
        return on_timer(state_, now_);
    }
    configuration at_version(std::uint64_t version)
    {
        configuration stored = start_lists();
        stored.lists_.version_ = version;
        return stored;
    }
};

TEST(configuration_tracking, reads_the_store_once_and_adopts_the_configuration)
{
    LONGS_EQUAL(1, start_read().size());
    const configuration stored = at_version(5);
    CHECK(reply(call_status::ok, &stored, 9).at(0).kind_ == config_tracker_action_kind::adopted);
    LONGS_EQUAL(5, held_version(state_));
    CHECK_FALSE(next_wake(state_).has_value());
}

TEST(configuration_tracking, never_returns_to_an_older_version)
{
    start_read();
    const configuration stored = at_version(5);
    reply(call_status::ok, &stored, 9);
    CHECK(on_peer_configuration(state_, print(at_version(4))).empty());
    LONGS_EQUAL(5, held_version(state_));
    LONGS_EQUAL(1, state_.counters_.older_ignored_);
}

TEST(configuration_tracking, rejects_and_counts_invalid_content)
{
    on_peer_configuration(state_, print(at_version(5)));
    std::string text = print(at_version(6));
    text.replace(text.find("\"low\""), 5, "\"gone\"");
    CHECK(on_peer_configuration(state_, text).empty());
    LONGS_EQUAL(5, held_version(state_));
    LONGS_EQUAL(1, state_.counters_.invalid_refused_);
}

TEST(configuration_tracking, rejects_different_content_of_the_held_version)
{
    on_peer_configuration(state_, print(at_version(5)));
    configuration other = at_version(5);
    other.lists_.customers_.pop_back();
    CHECK(on_peer_configuration(state_, print(other)).empty());
    LONGS_EQUAL(1, state_.counters_.diverged_refused_);
}

TEST(configuration_tracking, a_watcher_watches_above_the_version_read_and_reads_after_a_timeout)
{
    start_read();
    set_watcher(state_, true, now_);
    const configuration stored = at_version(5);
    const auto actions = reply(call_status::ok, &stored, 9);
    CHECK(actions.at(1).kind_ == config_tracker_action_kind::watch_store);
    LONGS_EQUAL(9, actions.at(1).above_version_);
    pass(std::chrono::seconds{5});
    CHECK(reply(call_status::unknown).empty());
    const auto read = on_timer(state_, now_);
    LONGS_EQUAL(1, read.size());
    CHECK(read.at(0).kind_ == config_tracker_action_kind::read_store);
}

TEST(configuration_tracking, a_watch_that_returns_at_once_without_a_change_backs_off)
{
    start_read();
    set_watcher(state_, true, now_);
    const configuration stored = at_version(5);
    reply(call_status::ok, &stored, 9);
    CHECK(reply(call_status::ok).empty());
    CHECK(next_wake(state_).has_value());
}

TEST(configuration_tracking, is_not_ready_without_a_configuration)
{
    start_read();
    reply(call_status::unavailable);
    on_peers_answered(state_, peers_answered::all);
    pass(std::chrono::hours{1});
    CHECK_FALSE(is_ready(state_, now_));
}

TEST(configuration_tracking, waits_for_all_peers_while_the_store_is_down)
{
    start_read();
    reply(call_status::unavailable);
    on_peer_configuration(state_, print(at_version(4)));
    on_peers_answered(state_, peers_answered::some);
    CHECK_FALSE(is_ready(state_, now_)); // another peer may hold a newer version
    on_peer_configuration(state_, print(at_version(5)));
    on_peers_answered(state_, peers_answered::all);
    CHECK(is_ready(state_, now_));
    LONGS_EQUAL(5, held_version(state_));
}

TEST(configuration_tracking, waits_for_the_peers_while_the_store_returns_an_old_version)
{
    start_read();
    const configuration stale_copy = at_version(3);
    reply(call_status::ok, &stale_copy, 7);
    CHECK_FALSE(is_ready(state_, now_));
    on_peer_configuration(state_, print(at_version(5)));
    on_peers_answered(state_, peers_answered::all);
    CHECK(is_ready(state_, now_));
    LONGS_EQUAL(5, held_version(state_));
}

TEST(configuration_tracking, is_ready_after_the_grace_period_with_only_the_store)
{
    start_read();
    const configuration stored = at_version(3);
    reply(call_status::ok, &stored, 7);
    pass(std::chrono::seconds{2});
    CHECK(is_ready(state_, now_));
}
