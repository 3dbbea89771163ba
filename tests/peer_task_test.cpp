#include "peer/peer_task.hpp"
#include "support/relay.hpp"

#include <zmq.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>

using namespace savoryscale;
using namespace savoryscale::peer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct key_pair {
    std::string public_;
    std::string secret_;
};

key_pair make_keys()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

// A peer_task that records its events for the test.
struct host {
    host(const std::string& id, const key_pair& keys, const std::vector<std::string>& trusted = {})
        : task_{{id,
                 "mobile",
                 {{"127.0.0.1", 0}, keys.public_, keys.secret_, trusted, {}},
                 milliseconds{100},
                 milliseconds{400}},
                [this](const peer_event& event) { record(event); }}
    {
        port_ = task_.start().value().port_;
    }

    void record(const peer_event& event)
    {
        const std::lock_guard lock{mutex_};
        events_.push_back(event);
        changed_.notify_all();
    }

    void link(std::uint16_t port, const std::string& key = "")
    {
        task_.post(set_links{{{{"127.0.0.1", port}, key}}});
    }

    // Waits until an event matches. Fails the test if none does within ten seconds.
    template<class Match>
    void await(Match&& match)
    {
        std::unique_lock lock{mutex_};
        const auto seen = [&] { return std::any_of(events_.begin(), events_.end(), match); };
        CHECK(changed_.wait_for(lock, seconds{10}, seen));
    }

    void await_fact(const std::string& subject)
    {
        await([&](const peer_event& event) {
            const auto* learned = std::get_if<fact_learned>(&event);
            return learned != nullptr && learned->fact_.subject_ == subject;
        });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<peer_event> events_;
    peer_task task_;
    std::uint16_t port_ = 0;
};

fact drain(const std::string& subject)
{
    return {fact_kind::target_drain, subject, 1, "", 0};
}

} // namespace

TEST_GROUP(peer_task)
{
    key_pair keys_ = make_keys();
};

TEST(peer_task, facts_are_sent_in_both_directions_on_one_link)
{
    host left{"left", keys_};
    host right{"right", keys_};
    left.link(right.port_);
    left.task_.post(publish_fact{drain("from left")});
    right.await_fact("from left");
    right.task_.post(publish_fact{drain("from right")});
    left.await_fact("from right");
    CHECK(left.task_.counters().bytes_sent_ > 0);
    CHECK(right.task_.counters().bytes_received_ > 0);
}

TEST(peer_task, facts_are_forwarded_by_an_intermediate_host)
{
    host left{"left", keys_};
    host middle{"middle", keys_};
    host right{"right", keys_};
    left.link(middle.port_);
    right.link(middle.port_);
    left.task_.post(publish_fact{drain("forwarded")});
    right.await_fact("forwarded");
}

TEST(peer_task, a_silent_link_is_reopened)
{
    host left{"left", keys_};
    host right{"right", keys_};
    tests::relay between{right.port_};
    left.link(between.port());
    left.task_.post(publish_fact{drain("before")});
    right.await_fact("before");
    between.silence_open_connections();
    left.task_.post(publish_fact{drain("after")});
    right.await_fact("after");
    CHECK(left.task_.counters().links_reopened_ > 0);
    CHECK(between.accepted() > 1);
}

TEST(peer_task, a_stopped_peer_is_reported_as_unlinked)
{
    host left{"left", keys_};
    {
        host right{"right", keys_};
        left.link(right.port_);
        left.await([](const peer_event& event) {
            const auto* linked = std::get_if<peer_linked>(&event);
            return linked != nullptr && linked->linked_;
        });
    }
    left.await([](const peer_event& event) {
        const auto* linked = std::get_if<peer_linked>(&event);
        return linked != nullptr && !linked->linked_;
    });
}

TEST(peer_task, trusted_keys_are_tried_in_turn)
{
    const key_pair other = make_keys();
    host left{"left", keys_, {make_keys().public_, other.public_}};
    host right{"right", other, {keys_.public_}};
    left.link(right.port_);
    left.task_.post(publish_fact{drain("t")});
    right.await_fact("t");
}

TEST(peer_task, a_host_with_an_untrusted_key_is_refused)
{
    const key_pair untrusted_keys = make_keys();
    host right{"right", keys_};
    host untrusted{"untrusted", untrusted_keys, {keys_.public_}};
    untrusted.link(right.port_, keys_.public_);
    untrusted.task_.post(publish_fact{drain("from untrusted")});
    host trusted_host{"trusted", keys_};
    trusted_host.link(right.port_);
    trusted_host.task_.post(publish_fact{drain("from trusted")});
    right.await_fact("from trusted");
    right.await([&](const peer_event&) { return right.task_.counters().untrusted_refused_ > 0; });
    const std::lock_guard lock{right.mutex_};
    for (const peer_event& event : right.events_) {
        const auto* learned = std::get_if<fact_learned>(&event);
        CHECK(learned == nullptr || learned->fact_.subject_ != "from untrusted");
    }
}

TEST(peer_task, a_share_message_reaches_the_peer)
{
    host left{"left", keys_};
    host right{"right", keys_};
    left.link(right.port_);
    left.await([](const peer_event& event) { return std::get_if<peer_linked>(&event) != nullptr; });
    left.task_.post(send_share{"", message_kind::share_request, {"probes/photo", 7, 3}});
    right.await([](const peer_event& event) {
        const auto* share = std::get_if<share_received>(&event);
        return share != nullptr && share->peer_ == "left" &&
               share->share_ == share_message{"probes/photo", 7, 3};
    });
}

TEST(peer_task, malformed_keys_are_rejected)
{
    peer_task task{{"left", "mobile", {{"127.0.0.1", 0}, "short", "short", {}, {}}}, {}};
    CHECK(task.start().error().kind_ == error_kind::invalid);
}
