#include "membership/start_answers.hpp"
#include "peer/peer_task.hpp"
#include "peer/wire.hpp"
#include "plans/keeper.hpp"
#include "store/object_api.hpp"
#include "support/control_hosts.hpp"

using namespace savoryscale;
using namespace savoryscale::membership;
using namespace savoryscale::tests;

namespace {

// A peer that tells the lists, and passes on that another peer starts.
struct telling_peer {
    explicit telling_peer(const settings::settings& settings)
        : exchange_{{settings.host_.id_, settings.host_.data_centre_, *settings.peer_},
                    [](const peer::peer_event&) {}}
    {
        const auto bound = exchange_.start();
        CHECK(bound.has_value());
        address_ = *bound;
        exchange_.post(
            peer::tell_fact{{peer::fact_kind::configuration, "", 1, configuration_text(1), 0}});
    }

    // Passes on the first word of one more life of another peer.
    void tell_start()
    {
        peer::host_state word;
        word.data_centre_ = "mobile";
        word.address_ = {"127.0.0.1", 1};
        exchange_.post(
            peer::tell_fact{{peer::fact_kind::host, "entry-9", ++starts_ << peer::host_counter_bits,
                             peer::encode(word), 90}});
    }

    std::uint64_t starts_ = 0;
    peer::peer_task exchange_;
    settings::endpoint address_;
};

// Whether `host` is still not ready once `other`, which hears of no start, is.
bool is_outrun(entry_host& host, const entry_host& other, telling_peer& peer)
{
    return becomes([&] {
               peer.tell_start();
               return other.ready_.load();
           }) &&
           !host.ready_;
}

} // namespace

TEST_GROUP_BASE(control_start, control_hosts){};

TEST(control_start, a_host_that_starts_with_the_store_down_learns_from_its_peers)
{
    add();
    CHECK(becomes([&] { return all_hold(1); }));
    entry_host& late = add(true);
    CHECK(becomes([&] { return late.version_ == 1 && late.ready_; }));
}

TEST(control_start, a_host_without_any_source_is_not_ready)
{
    entry_host& alone = add(true);
    CHECK(becomes([&] { return alone.task_.counters().store_calls_ > 3; }));
    CHECK_FALSE(alone.ready_);
    alone.client_.down_ = false;
    CHECK(becomes([&] { return alone.ready_ && alone.version_ == 1; }));
}

TEST(control_start, a_host_cut_from_its_peers_watches_the_store_itself)
{
    add();
    CHECK(becomes([&] { return all_hold(1) && watchers() == 1; }));
    // Nothing answers at this seed.
    const settings::endpoint nobody{"127.0.0.1", 1};
    hosts_.push_back(std::make_unique<entry_host>(store_, host_settings("apart", {nobody})));
    CHECK(becomes([&] { return all_hold(1); }));
    write(2);
    CHECK(becomes([&] { return all_hold(2); }));
    write(3);
    CHECK(becomes([&] { return all_hold(3); }));
}

TEST(control_start, half_of_a_share_counts_at_once_and_the_rest_after_a_term)
{
    entry_host& host = add();
    CHECK(becomes([&] { return host.share("probes/photo") == 2; }));
    CHECK(becomes([&] { return host.share("probes/photo") == 100 / 24; }));
}

TEST(control_start, a_starting_peer_voids_what_the_others_told_before)
{
    telling_peer told{host_settings("told", {})};
    telling_peer quiet{host_settings("quiet", {})};
    control_timing timing = quick;
    timing.contend_after_ = seconds{2}; // far above the gaps between the words of starts
    entry_host reader{store_, host_settings("entry-1", {told.address_}), false, timing};
    entry_host cut{store_, host_settings("entry-2", {told.address_}), true, timing};
    CHECK(becomes([&] { return reader.version_ == 1 && cut.version_ == 1; }));
    std::this_thread::sleep_for(milliseconds{200}); // without starts heard, they would be first
    entry_host other_reader{store_, host_settings("entry-3", {quiet.address_}), false, timing};
    entry_host other_cut{store_, host_settings("entry-4", {quiet.address_}), true, timing};
    CHECK(is_outrun(reader, other_reader, told));
    CHECK(is_outrun(cut, other_cut, told));
    // No more starts: the peers are asked again, and answer.
    CHECK(becomes([&] { return reader.ready_ && cut.ready_; }));
}

TEST(control_start, a_start_voids_answers_once)
{
    start_answers answers = make_start_answers(time_point{});
    const peer::fact first{peer::fact_kind::host, "p", 5U << peer::host_counter_bits, "", 90};
    const peer::fact later{peer::fact_kind::host, "p", first.version_ + 1, "", 90};
    const peer::fact next{peer::fact_kind::host, "p", 6U << peer::host_counter_bits, "", 90};
    CHECK(on_peer_word(answers, first, {}, time_point{seconds{1}}));
    CHECK_FALSE(on_peer_word(answers, later, {}, time_point{seconds{2}}));
    CHECK(answers.valid_from_ == time_point{seconds{1}});
    CHECK(on_peer_word(answers, next, {}, time_point{seconds{3}}));
    CHECK(answers.valid_from_ == time_point{seconds{3}});
}

TEST(control_start, a_serving_or_leaving_peer_voids_nothing)
{
    start_answers answers = make_start_answers(time_point{});
    peer::host_state state;
    state.ready_ = true;
    CHECK_FALSE(on_peer_word(answers, {}, state, time_point{seconds{1}}));
    state.ready_ = false;
    state.leaving_ = true;
    CHECK_FALSE(on_peer_word(answers, {}, state, time_point{seconds{1}}));
}

TEST(control_start, peers_that_crash_for_ever_do_not_void_for_ever)
{
    start_answers answers = make_start_answers(time_point{});
    CHECK_FALSE(on_peer_word(answers, {}, {}, time_point{void_limit}));
    CHECK(answers.valid_from_ == time_point{});
}

TEST(control_start, void_answers_give_the_peers_their_grace_anew)
{
    random_source random{1};
    plans::keeper state = plans::make_keeper({}, time_point{}, random);
    plans::on_peer_configuration(state, configuration_text(1));
    plans::on_timer(state, time_point{seconds{1}});
    plans::on_store_reply(state, {store::call_status::not_found, {}}, time_point{seconds{1}},
                          random);
    plans::on_answers_void(state, time_point{seconds{1}});
    CHECK_FALSE(plans::is_ready(state, time_point{seconds{2}}));
    CHECK(plans::is_ready(state, time_point{seconds{3}}));
}
