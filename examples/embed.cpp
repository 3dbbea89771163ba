// Embeds two coordination components of the library in one program: the conditional apply of the
// two lists, and the exchange between hosts, in which the newest version wins, that carries the
// result to another host. Objects are kept in memory and messages are passed by function calls; a
// real program has its own store and its own sockets.

#include "peer/exchange.hpp"
#include "plans/applier.hpp"
#include "plans/configuration.hpp"
#include "plans/edited_file.hpp"
#include "store/object_api.hpp"

#include <fmt/format.h>

#include <deque>

using namespace savoryscale;

namespace {

constexpr std::string_view edited = R"({
    "customers": {"savannah": "buyers"},
    "plans": {"buyers": {"ledger": {"calls_per_second": 40, "burst_calls": 80, "concurrency": 4}}}
})";

// A store with one object and conditional writes.
struct memory_store {
    store::object object_;

    store::object_reply answer(const plans::applier_step& step)
    {
        const bool exists = object_.version_ > 0;
        if (step.action_ == plans::applier_action::read) {
            return exists ? found() : store::object_reply{store::call_status::not_found, {}};
        }
        if (step.expected_version_ != object_.version_) {
            return {store::call_status::conflict, {}};
        }
        object_ = {std::string{plans::configuration_key}, step.text_, object_.version_ + 1};
        return found();
    }

    store::object_reply found() const { return {store::call_status::ok, {object_}}; }
};

// Applies the file; a second call reports that the lists are already in force.
plans::apply_outcome apply(memory_store& store, random_source& random)
{
    const auto file = plans::parse_edited_file(edited, "embedded");
    if (!file) {
        return plans::apply_outcome::refused_invalid;
    }
    plans::applier applier = plans::make_applier(*file, {});
    plans::applier_step step = plans::first_step(applier);
    while (step.action_ != plans::applier_action::done) {
        step = plans::on_reply(applier, store.answer(step), 0, random);
    }
    return step.report_.apply_outcome_;
}

// Delivers messages between two hosts until none are left; returns how many were delivered.
std::size_t deliver_all(peer::exchange& left, peer::exchange& right, peer::exchange_actions actions,
                        time_point now, random_source& random)
{
    std::deque<peer::outgoing_message> in_transit{actions.send_.begin(), actions.send_.end()};
    std::size_t count = 0;
    for (; !in_transit.empty(); ++count) {
        const peer::outgoing_message next = in_transit.front();
        in_transit.pop_front();
        peer::exchange& to = next.peer_ == "left" ? left : right;
        const peer::exchange_actions answer = peer::receive(to, next.message_, now, random);
        in_transit.insert(in_transit.end(), answer.send_.begin(), answer.send_.end());
    }
    return count;
}

peer::exchange make_host(const std::string& id, time_point now, random_source& random)
{
    peer::exchange_settings settings;
    settings.host_id_ = id;
    return peer::make_exchange(settings, now, random);
}

} // namespace

int main()
{
    random_source random{1};
    memory_store store;
    const bool applied = apply(store, random) == plans::apply_outcome::applied;
    const bool again = apply(store, random) == plans::apply_outcome::already_in_force;
    const auto stored = plans::parse_configuration(store.object_.value_, "store");
    fmt::print("applied: {}, the same again already in force: {}\n", applied, again);
    if (!applied || !again || !stored) {
        return 1;
    }

    const time_point now = monotonic_now();
    peer::exchange left = make_host("left", now, random);
    peer::exchange right = make_host("right", now, random);
    peer::link_peer(left, "right", false);
    peer::link_peer(right, "left", false);
    const peer::fact update{peer::fact_kind::configuration, "", stored->lists_.version_,
                            store.object_.value_, 0};
    const std::size_t messages =
        deliver_all(left, right, peer::publish(left, update, now, random), now, random);
    const peer::fact* held = peer::find(right.table_, {peer::fact_kind::configuration, ""});
    const bool same = held != nullptr && *held == update;
    fmt::print("the other host holds it after {} messages: {}\n", messages, same);
    return same ? 0 : 1;
}
