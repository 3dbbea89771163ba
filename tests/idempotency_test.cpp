#include "base/random.hpp"
#include "dispatch/idempotency.hpp"

#include <fmt/format.h>

#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace std::chrono_literals;
using dispatch::claim_action;
using dispatch::claim_action_kind;
using store::call_status;
using store::operation;

namespace {

dispatch::idempotency_claim claim_by(const std::string& attempt, const std::string& digest = "d")
{
    dispatch::idempotency_claim claim;
    claim.object_key_ = "idempotency/ledger/k";
    claim.record_ = {attempt, digest, "host-" + attempt, 1};
    claim.deadline_ = time_point{10s};
    return claim;
}

// Simulates an object API that loses answers and applies some calls late.
class lossy_store {
public:
    explicit lossy_store(std::uint64_t seed) : random_{seed} {}

    store::object_reply handle(const store::object_call& call)
    {
        apply_late_calls();
        switch (uniform_below(random_, 6)) {
        case 0:
            return {call_status::unavailable, {}};
        case 1:
            return {call_status::not_sent, {}};
        case 2:
            late_calls_.push_back(call);
            return {call_status::unknown, {}};
        case 3:
            apply(call);
            return {call_status::unknown, {}};
        default:
            return apply(call);
        }
    }

private:
    void apply_late_calls()
    {
        for (const store::object_call& call : late_calls_) {
            if (uniform_below(random_, 2) == 0) {
                apply(call);
            }
        }
    }

    store::object_reply apply(const store::object_call& call)
    {
        const auto found = objects_.find(call.key_);
        const bool exists = found != objects_.end();
        if (call.operation_ == operation::create) {
            if (exists) {
                return {call_status::conflict, {}};
            }
            objects_[call.key_] = {call.key_, call.value_, ++version_};
        }
        if (call.operation_ == operation::remove) {
            if (exists && found->second.version_ == call.expected_version_) {
                objects_.erase(found);
            }
            return {call_status::ok, {}};
        }
        const auto now = objects_.find(call.key_);
        return now == objects_.end() ? store::object_reply{call_status::not_found, {}}
                                     : store::object_reply{call_status::ok, {now->second}};
    }

    random_source random_;
    std::map<std::string, store::object> objects_;
    std::vector<store::object_call> late_calls_;
    std::uint64_t version_ = 0;
};

} // namespace

TEST_GROUP(idempotency)
{
    dispatch::idempotency_claim claim_ = claim_by("a");

    // The action after replies with these statuses in turn; `stored` is the value that a read
    // returns.
    claim_action after(const std::vector<call_status>& statuses, const std::string& stored = "")
    {
        claim_action action = dispatch::begin_claim(claim_);
        for (const call_status status : statuses) {
            CHECK(action.kind_ == claim_action_kind::submit);
            store::object_reply reply{status, {}};
            if (status == call_status::ok) {
                reply.objects_.push_back({claim_.object_key_, stored, 7});
            }
            action = dispatch::on_reply(claim_, reply, time_point{});
        }
        return action;
    }

    static std::string record(const std::string& attempt, const std::string& digest)
    {
        return fmt::format(R"({{"attempt":"{}","digest":"{}"}})", attempt, digest);
    }

    void check_refused(const claim_action& action, int status, bool may_have_run)
    {
        CHECK(action.kind_ == claim_action_kind::refuse);
        LONGS_EQUAL(status, action.status_);
        CHECK_EQUAL(may_have_run, action.may_have_run_);
        CHECK(!dispatch::release(claim_));
    }
};

TEST(idempotency, first_claim_proceeds_and_can_be_released_once)
{
    const claim_action created = dispatch::begin_claim(claim_);
    CHECK(created.call_.operation_ == operation::create);
    CHECK(after({call_status::ok}).kind_ == claim_action_kind::proceed);
    const auto remove = dispatch::release(claim_);
    CHECK(remove.has_value());
    CHECK(remove->operation_ == operation::remove);
    LONGS_EQUAL(7, remove->expected_version_);
    CHECK(!dispatch::release(claim_));
}

TEST(idempotency, after_a_lost_answer_the_claim_is_read)
{
    CHECK(after({call_status::unknown, call_status::ok}, record("a", "d")).kind_ ==
          claim_action_kind::proceed);
}

TEST(idempotency, read_that_finds_nothing_creates_again)
{
    const claim_action action = after({call_status::unknown, call_status::not_found});
    CHECK(action.kind_ == claim_action_kind::submit);
    CHECK(action.call_.operation_ == operation::create);
    CHECK(action.wait_ > duration::zero());
}

TEST(idempotency, resend_of_the_same_request_has_unknown_outcome)
{
    check_refused(after({call_status::conflict, call_status::ok}, record("b", "d")), 409, true);
}

TEST(idempotency, another_request_with_the_same_key_was_not_run)
{
    check_refused(after({call_status::conflict, call_status::ok}, record("b", "e")), 422, false);
}

TEST(idempotency, malformed_record_counts_as_a_claim_of_another_attempt)
{
    check_refused(after({call_status::conflict, call_status::ok}, "?"), 409, true);
}

TEST(idempotency, unavailable_store_means_not_run)
{
    for (const call_status status :
         {call_status::unavailable, call_status::not_sent, call_status::rejected}) {
        claim_ = claim_by("a");
        check_refused(after({status}), 503, false);
    }
    claim_ = claim_by("a");
    check_refused(after({call_status::unknown, call_status::unavailable, call_status::unknown,
                         call_status::not_sent}),
                  503, false);
}

TEST(idempotency, no_call_is_made_past_the_deadline)
{
    claim_.deadline_ = time_point{5ms};
    check_refused(after({call_status::unknown}), 503, false);
}

TEST(idempotency, keys_of_different_customers_do_not_collide)
{
    const auto key = dispatch::idempotency_object_key;
    CHECK(key("s", "ab", "c") != key("s", "a", "bc"));
    CHECK(key("s", "a", "c") != key("t", "a", "c"));
    STRCMP_EQUAL(key("s", "a", "c").c_str(), key("s", "a", "c").c_str());
    CHECK(dispatch::request_digest("POST", "/a", "b") !=
          dispatch::request_digest("POST", "/ab", ""));
}

// Interleaved resends through several hosts, with a store that loses answers and applies creates
// late. A request that proceeds either runs, or is proved not to have run and releases its claim.
TEST(idempotency, at_most_one_of_many_resends_runs)
{
    int runs_in_all = 0;
    for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
        random_source random{seed};
        lossy_store store{seed};
        std::vector<dispatch::idempotency_claim> claims;
        std::vector<claim_action> actions;
        for (const char* attempt : {"a", "b", "c", "d"}) {
            claims.push_back(claim_by(attempt));
            actions.push_back(dispatch::begin_claim(claims.back()));
        }
        int runs = 0;
        for (int step = 0; step < 60; ++step) {
            const auto i = uniform_below(random, claims.size());
            if (actions[i].kind_ == claim_action_kind::submit) {
                actions[i] = dispatch::on_reply(claims[i], store.handle(actions[i].call_), {});
            }
            else if (actions[i].kind_ == claim_action_kind::proceed) {
                actions[i].kind_ = claim_action_kind::refuse;
                const bool ran = uniform_below(random, 2) == 0;
                const auto remove = ran ? std::nullopt : dispatch::release(claims[i]);
                runs += ran ? 1 : 0;
                if (remove) {
                    store.handle(*remove);
                }
            }
        }
        CHECK(runs <= 1);
        runs_in_all += runs;
    }
    CHECK(runs_in_all > 5000);
}
