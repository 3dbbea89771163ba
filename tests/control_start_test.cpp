#include "membership/start_answers.hpp"
#include "peer/peer_task.hpp"
#include "peer/wire.hpp"
#include "plans/config_tracker.hpp"
#include "store/object_api.hpp"
#include "support/control_hosts.hpp"

using namespace savoryscale;
using namespace savoryscale::membership;
using namespace savoryscale::tests;

namespace {

// A peer that publishes the lists, and passes on host facts of another peer that is starting.
struct publishing_peer {
    explicit publishing_peer(const settings::settings& settings)
        : exchange_{{settings.host_.id_, settings.host_.data_centre_, *settings.peer_},
                    [](const peer::peer_event&) {}}
    {
        const auto bound = exchange_.start();
        CHECK(bound.has_value());
        address_ = *bound;
        exchange_.post(
            peer::publish_fact{{peer::fact_kind::configuration, "", 1, configuration_text(1), 0}});
    }

    // Passes on the first host fact of one more incarnation of another peer.
    void publish_start()
    {
        peer::host_state starting_state;
        starting_state.data_centre_ = "mobile";
        starting_state.address_ = {"127.0.0.1", 1};
        exchange_.post(peer::publish_fact{{peer::fact_kind::host, "entry-9",
                                           ++starts_ << peer::host_counter_bits,
                                           peer::encode(starting_state), 90}});
    }

    std::uint64_t starts_ = 0;
    peer::peer_task exchange_;
    settings::endpoint address_;
};

// Whether `other`, which learns of no start, becomes ready while `host` is still not ready.
bool becomes_ready_later(entry_host& host, const entry_host& other, publishing_peer& peer)
{
    return eventually([&] {
               peer.publish_start();
               return other.ready_.load();
           }) &&
           !host.ready_;
}

} // namespace

TEST_GROUP_BASE(control_start, control_hosts){};

TEST(control_start, a_host_that_starts_with_the_store_down_learns_from_its_peers)
{
    add();
    CHECK(eventually([&] { return all_hold(1); }));
    entry_host& late = add(true);
    CHECK(eventually([&] { return late.version_ == 1 && late.ready_; }));
}

TEST(control_start, a_host_without_any_source_is_not_ready)
{
    entry_host& alone = add(true);
    CHECK(eventually([&] { return alone.task_.counters().store_calls_ > 3; }));
    CHECK_FALSE(alone.ready_);
    alone.client_.down_ = false;
    CHECK(eventually([&] { return alone.ready_ && alone.version_ == 1; }));
}

TEST(control_start, a_host_without_linked_peers_watches_the_store_itself)
{
    add();
    CHECK(eventually([&] { return all_hold(1) && watchers() == 1; }));
    // No host listens at this seed.
    const settings::endpoint nobody{"127.0.0.1", 1};
    hosts_.push_back(std::make_unique<entry_host>(store_, host_settings("isolated", {nobody})));
    CHECK(eventually([&] { return all_hold(1); }));
    write(2);
    CHECK(eventually([&] { return all_hold(2); }));
    write(3);
    CHECK(eventually([&] { return all_hold(3); }));
}

TEST(control_start, half_of_a_share_is_usable_at_once_and_the_rest_after_a_term)
{
    entry_host& host = add();
    CHECK(eventually([&] { return host.share("probes/photo") == 2; }));
    CHECK(eventually([&] { return host.share("probes/photo") == 100 / 24; }));
}

TEST(control_start, a_starting_peer_invalidates_earlier_answers_of_the_others)
{
    publishing_peer start_publisher{host_settings("start-publisher", {})};
    publishing_peer quiet_publisher{host_settings("quiet-publisher", {})};
    control_timing timing = quick;
    timing.contend_after_ = seconds{2}; // much longer than the interval between starts
    entry_host with_store{store_, host_settings("entry-1", {start_publisher.address_}), false,
                          timing};
    entry_host without_store{store_, host_settings("entry-2", {start_publisher.address_}), true,
                             timing};
    CHECK(eventually([&] { return with_store.version_ == 1 && without_store.version_ == 1; }));
    // A head start: without the published starts, these two would be ready first.
    std::this_thread::sleep_for(milliseconds{200});
    entry_host other_with_store{store_, host_settings("entry-3", {quiet_publisher.address_}), false,
                                timing};
    entry_host other_without_store{store_, host_settings("entry-4", {quiet_publisher.address_}),
                                   true, timing};
    CHECK(becomes_ready_later(with_store, other_with_store, start_publisher));
    CHECK(becomes_ready_later(without_store, other_without_store, start_publisher));
    // After the last start the peers are asked again, and answer.
    CHECK(eventually([&] { return with_store.ready_ && without_store.ready_; }));
}

TEST(control_start, a_start_invalidates_answers_once)
{
    start_answers answers = make_start_answers(time_point{});
    const peer::fact first{peer::fact_kind::host, "p", 5U << peer::host_counter_bits, "", 90};
    const peer::fact later{peer::fact_kind::host, "p", first.version_ + 1, "", 90};
    const peer::fact next{peer::fact_kind::host, "p", 6U << peer::host_counter_bits, "", 90};
    CHECK(on_peer_state(answers, first, {}, time_point{seconds{1}}));
    CHECK_FALSE(on_peer_state(answers, later, {}, time_point{seconds{2}}));
    CHECK(answers.valid_from_ == time_point{seconds{1}});
    CHECK(on_peer_state(answers, next, {}, time_point{seconds{3}}));
    CHECK(answers.valid_from_ == time_point{seconds{3}});
}

TEST(control_start, a_serving_or_leaving_peer_invalidates_nothing)
{
    start_answers answers = make_start_answers(time_point{});
    peer::host_state state;
    state.ready_ = true;
    CHECK_FALSE(on_peer_state(answers, {}, state, time_point{seconds{1}}));
    state.ready_ = false;
    state.leaving_ = true;
    CHECK_FALSE(on_peer_state(answers, {}, state, time_point{seconds{1}}));
}

TEST(control_start, peers_that_keep_crashing_invalidate_answers_only_for_a_limited_time)
{
    start_answers answers = make_start_answers(time_point{});
    CHECK_FALSE(on_peer_state(answers, {}, {}, time_point{invalidation_window}));
    CHECK(answers.valid_from_ == time_point{});
}

TEST(control_start, invalidating_answers_restarts_the_grace_period_of_the_peers)
{
    random_source random{1};
    plans::config_tracker state = plans::make_config_tracker({}, time_point{}, random);
    plans::on_peer_configuration(state, configuration_text(1));
    plans::on_timer(state, time_point{seconds{1}});
    plans::on_store_reply(state, {store::call_status::not_found, {}}, time_point{seconds{1}},
                          random);
    plans::on_answers_discarded(state, time_point{seconds{1}});
    CHECK_FALSE(plans::is_ready(state, time_point{seconds{2}}));
    CHECK(plans::is_ready(state, time_point{seconds{3}}));
}
