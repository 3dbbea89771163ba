#include "admission/admission.hpp"

#include <CppUTest/TestHarness.h>

using namespace savoryscale;
using namespace savoryscale::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

plans::plan plan_of(std::string name, plans::allowance sales)
{
    plans::plan made;
    made.name_ = std::move(name);
    made.allowances_.push_back(std::move(sales));
    return made;
}

plans::customer customer_on(std::string name, std::string plan)
{
    plans::customer made;
    made.name_ = std::move(name);
    made.plan_ = std::move(plan);
    return made;
}

plans::lists two_customers()
{
    plans::lists made;
    made.version_ = 1;
    made.customers_ = {customer_on("acme", "gold"), customer_on("bulk", "tin")};
    made.plans_ = {plan_of("gold", {"sales", 100, 10, 5, plans::priority::high}),
                   plan_of("tin", {"sales", 100, 50, 50, plans::priority::low})};
    return made;
}

} // namespace

TEST_GROUP(admission)
{
    random_source random_{7};
    time_point now_{seconds{1000}};
    state state_ = make_state(1);
    plans::lists lists_ = two_customers();

    verdict ask(std::string_view customer)
    {
        return admit(state_, customer, "sales", now_, random_);
    }
};

TEST(admission, without_lists_every_call_is_refused)
{
    CHECK(ask("acme").reason_ == refusal::no_lists);
}

TEST(admission, concurrency_is_limited_and_released)
{
    set_lists(state_, lists_, now_);
    for (int call = 0; call < 5; ++call) {
        CHECK(ask("acme").admitted());
    }
    CHECK(ask("acme").reason_ == refusal::concurrency);
    release(state_, "acme", "sales");
    CHECK(ask("acme").admitted());
}

TEST(admission, rate_is_limited_and_retry_after_is_jittered)
{
    set_lists(state_, lists_, now_);
    for (int call = 0; call < 10; ++call) {
        CHECK(ask("acme").admitted());
        release(state_, "acme", "sales");
    }
    const auto first = ask("acme");
    const auto second = ask("acme");
    CHECK(first.reason_ == refusal::rate);
    CHECK(first.retry_after_ >= milliseconds{10});
    CHECK(first.retry_after_ <= milliseconds{20});
    CHECK(first.retry_after_ != second.retry_after_);
    now_ += milliseconds{10};
    CHECK(ask("acme").admitted());
}

TEST(admission, unknown_customers_are_refused_or_share_the_default_plan_and_one_account)
{
    set_lists(state_, lists_, now_);
    CHECK(ask("nobody").reason_ == refusal::not_allowed);
    lists_.plans_.push_back(plan_of("default", {"sales", 1, 2, 9, plans::priority::low}));
    set_lists(state_, lists_, now_);
    for (int customer = 0; customer < 1000; ++customer) {
        const bool admitted = ask("x" + std::to_string(customer)).admitted();
        CHECK_EQUAL(customer < 2, admitted);
    }
    LONGS_EQUAL(1, state_.accounts_.size());
}

TEST(admission, overload_refuses_low_priority_first_but_grants_every_customer_its_fair_share)
{
    set_lists(state_, lists_, now_);
    set_load(state_, "sales", 1.4, 4);
    CHECK(ask("bulk").admitted()); // 1.4 calls per slot, below the limit of its priority
    CHECK(ask("bulk").admitted()); // 1.65, above the limit, but below its fair share
    CHECK(ask("acme").admitted());
    CHECK(ask("bulk").reason_ == refusal::overload); // its fair share is now half of four slots
    CHECK(ask("acme").admitted());
    release(state_, "bulk", "sales");
    CHECK(ask("bulk").admitted());
    set_load(state_, "sales", 4, 4);
    CHECK(ask("acme").reason_ == refusal::overload);
}

TEST(admission, a_call_admitted_as_unknown_is_released_after_the_customer_became_known)
{
    auto with_default = lists_;
    with_default.plans_.push_back(plan_of("default", {"sales", 1, 1, 1, plans::priority::low}));
    set_lists(state_, with_default, now_);
    CHECK(ask("late").admitted());
    with_default.customers_.push_back(customer_on("late", "gold"));
    set_lists(state_, with_default, now_);
    release(state_, "late", "sales");
    LONGS_EQUAL(0, state_.loads_["sales"].in_flight_);
    LONGS_EQUAL(0, state_.loads_["sales"].active_customers_);
}

TEST(admission, idle_accounts_are_evicted)
{
    for (int number = 0; number < 500; ++number) {
        lists_.customers_.push_back(customer_on("c" + std::to_string(number), "gold"));
    }
    set_lists(state_, lists_, now_);
    for (int number = 0; number < 500; ++number) {
        const std::string name = "c" + std::to_string(number);
        CHECK(ask(name).admitted());
        release(state_, name, "sales");
    }
    now_ += seconds{10};
    for (int call = 0; call < 300; ++call) {
        ask("acme");
        release(state_, "acme", "sales");
        now_ += seconds{1};
    }
    CHECK(state_.accounts_.size() < 5);
}
