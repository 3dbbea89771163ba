#include "membership/control_task.hpp"

#include "membership/host_view.hpp"
#include "membership/inbox.hpp"
#include "membership/lease.hpp"
#include "membership/share.hpp"
#include "membership/start_answers.hpp"
#include "membership/target_view.hpp"
#include "peer/wire.hpp"
#include "plans/config_tracker.hpp"
#include "store/host_list.hpp"
#include "store/object_client.hpp"
#include "store/status_record.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace savoryscale::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds loop_period{50};
constexpr std::uint32_t host_fact_lifetime_s = 90;
constexpr seconds host_fact_period{30};             // republished after this when unchanged
constexpr milliseconds host_fact_min_interval{200}; // between publications of changes
constexpr std::uint32_t host_list_lifetime_s = 90;
constexpr seconds host_list_republish_period{30};
constexpr milliseconds call_timeout{1000};
constexpr std::uint32_t store_failures_until_lost = 3;

std::int64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

bool is_failure(store::call_status status)
{
    return status == store::call_status::not_sent || status == store::call_status::unknown ||
           status == store::call_status::unavailable;
}

} // namespace

// The state and work of the task's thread.
class control_task::loop {
public:
    loop(control_task& task, settings::settings settings, store::object_client& store,
         store::host_list_client& host_list, control_callbacks callbacks,
         const control_timing& timing)
        : task_{task},
          settings_{std::move(settings)},
          store_{store},
          host_list_{host_list},
          callbacks_{std::move(callbacks)},
          random_{std::random_device{}()},
          started_{monotonic_now()},
          config_tracker_{plans::make_config_tracker({}, started_, random_)},
          answers_{make_start_answers(started_)},
          targets_{make_target_view(settings_.services_)}
    {
        hosts_.self_ = settings_.host_.id_;
        host_version_ = static_cast<std::uint64_t>(unix_ms() / 1000) << peer::host_counter_bits;
        const std::string holder =
            fmt::format("{}@{}", settings_.host_.id_, host_version_ | random_() % 1000000);
        for (std::size_t slot = 0; slot < leases_.size(); ++slot) {
            leases_[slot].settings_.key_ =
                fmt::format("lease/watch/{}/{}", settings_.host_.data_centre_, slot);
            leases_[slot].settings_.holder_ = holder;
            leases_[slot].settings_.term_ = timing.lease_term_;
            leases_[slot].settings_.margin_ = timing.lease_margin_;
            leases_[slot].settings_.renew_period_ = timing.lease_renew_period_;
            leases_[slot].settings_.read_period_ = timing.lease_read_period_;
        }
        next_host_list_ = started_ + milliseconds{500 + uniform_below(random_, 1500)};
        last_linked_ = started_;
    }

    result<settings::endpoint> start_exchange()
    {
        if (!settings_.peer_) {
            return settings::endpoint{};
        }
        peer::peer_task_settings made;
        made.host_id_ = settings_.host_.id_;
        made.data_centre_ = settings_.host_.data_centre_;
        made.exchange_ = *settings_.peer_;
        peers_ = std::make_unique<peer::peer_task>(
            made, [box = inbox_](peer::peer_event event) { box->post(std::move(event)); });
        result<settings::endpoint> bound = peers_->start();
        if (bound) {
            exchange_address_ = *bound;
        }
        return bound;
    }

    void run()
    {
        make_shares();
        while (!task_.stopping_) {
            for (control_input& input : inbox_->wait(loop_period)) {
                std::visit([&](auto& value) { handle(value, monotonic_now()); }, input);
            }
            step(monotonic_now());
        }
    }

    // Shared with the callbacks of calls in progress.
    std::shared_ptr<inbox> inbox_ = std::make_shared<inbox>();
    std::unique_ptr<peer::peer_task> peers_;

private:
    // Inputs.

    void handle(control_event& event, time_point now)
    {
        if (const auto* drain = std::get_if<drain_seen>(&event)) {
            if (auto drain_fact = on_drain_seen(targets_, drain->service_, drain->address_,
                                                drain->incarnation_, now)) {
                publish(std::move(*drain_fact));
            }
        }
        else if (const auto* suspicion = std::get_if<suspicion_raised>(&event)) {
            publish(suspicion->fact_);
        }
        else if (const auto* demand = std::get_if<share_demand>(&event)) {
            const auto it = shares_.find(demand->resource_);
            if (it != shares_.end()) {
                it->second.wanted_ = demand->wanted_;
            }
        }
        else if (std::holds_alternative<stopping>(event)) {
            leaving_ = true;
        }
    }

    void handle(peer::peer_event& event, time_point now)
    {
        if (const auto* learned = std::get_if<peer::fact_learned>(&event)) {
            on_learned(learned->fact_, now);
        }
        else if (const auto* expired = std::get_if<peer::fact_expired>(&event)) {
            on_expired(expired->fact_);
        }
        else if (const auto* linked = std::get_if<peer::peer_linked>(&event)) {
            if (linked->linked_) {
                linked_.insert(linked->peer_);
            }
            else {
                linked_.erase(linked->peer_);
                last_linked_ = now;
            }
        }
        else if (const auto* received = std::get_if<peer::share_received>(&event)) {
            on_share_message(*received, now);
        }
    }

    void handle(store_answer& answer, time_point now)
    {
        count_store_failures(answer.reply_.status_);
        switch (answer.purpose_) {
        case store_purpose::configuration:
            carry_out(plans::on_store_reply(config_tracker_, answer.reply_, now, random_), now);
            break;
        case store_purpose::lease:
            on_reply(leases_[answer.slot_], answer.reply_, now, random_);
            break;
        case store_purpose::status:
            on_status_answer(answer, now);
            break;
        }
    }

    void handle(store::host_list_reply& reply, time_point now)
    {
        host_list_call_pending_ = false;
        next_host_list_ = now + timing_.host_list_period_;
        if (reply.status_ != store::call_status::ok || reply.hosts_.empty()) {
            return;
        }
        if (std::exchange(unreadable_hosts_, reply.unreadable_) != reply.unreadable_) {
            telemetry::state_change("listed_hosts_refused",
                                    {{"hosts", std::to_string(reply.unreadable_)}},
                                    telemetry::severity::warning);
        }
        apply_host_list(reply.hosts_);
        const std::string payload = peer::encode(reply.hosts_);
        if (payload == host_list_payload_ &&
            now - host_list_published_ < host_list_republish_period) {
            return;
        }
        host_list_payload_ = payload;
        host_list_published_ = now;
        host_list_version_ =
            std::max(host_list_version_ + 1, static_cast<std::uint64_t>(unix_ms()));
        publish(
            {peer::fact_kind::host_list, "", host_list_version_, payload, host_list_lifetime_s});
    }

    void on_learned(const peer::fact& new_fact, time_point now)
    {
        switch (new_fact.kind_) {
        case peer::fact_kind::configuration:
            carry_out(plans::on_peer_configuration(config_tracker_, new_fact.payload_), now);
            break;
        case peer::fact_kind::target_drain:
            on_drain_fact(targets_, new_fact);
            break;
        case peer::fact_kind::suspicion:
            callbacks_.on_suspicion_(new_fact);
            break;
        case peer::fact_kind::host:
            handle_host_fact(new_fact, now);
            break;
        case peer::fact_kind::host_list:
            handle_host_list_fact(new_fact, now);
            break;
        }
    }

    void handle_host_fact(const peer::fact& host_fact, time_point now)
    {
        if (host_fact.subject_ == hosts_.self_) {
            // Published by an earlier incarnation of this host, or before its clock was set back:
            // publish a higher version.
            host_version_ = std::max(host_version_, host_fact.version_ + 1);
            next_host_fact_ = {};
            return;
        }
        if (!on_host_fact(hosts_, host_fact)) {
            ++task_.counters_.facts_rejected_;
            return;
        }
        if (on_peer_state(answers_, host_fact, hosts_.hosts_[host_fact.subject_], now)) {
            plans::on_answers_discarded(config_tracker_, now);
        }
    }

    void handle_host_list_fact(const peer::fact& new_fact, time_point now)
    {
        const auto hosts = peer::parse_host_list(new_fact.payload_);
        if (!hosts) {
            ++task_.counters_.facts_rejected_;
            return;
        }
        host_list_version_ = new_fact.version_;
        host_list_payload_ = new_fact.payload_;
        host_list_published_ = now;
        apply_host_list(*hosts);
    }

    void on_expired(const peer::fact& expired_fact)
    {
        if (expired_fact.kind_ == peer::fact_kind::target_drain) {
            on_drain_expired(targets_, expired_fact);
        }
        else if (expired_fact.kind_ == peer::fact_kind::host) {
            on_host_expired(hosts_, expired_fact);
        }
    }

    void apply_host_list(const std::vector<store::listed_host>& hosts)
    {
        host_list_known_ = true;
        on_host_list(targets_, hosts);
        listed_peers_.clear();
        for (const store::listed_host& each : hosts) {
            if (each.kind_ == store::host_kind::entry && !each.leaving_ &&
                each.id_ != hosts_.self_) {
                listed_peers_.push_back(each.address_);
            }
        }
    }

    // Periodic steps.

    void step(time_point now)
    {
        step_config_tracker(now);
        step_leases(now);
        step_host_list(now);
        step_status(now);
        step_host_fact(now);
        step_links(now);
        step_shares(now);
        report_targets();
        task_.counters_.live_hosts_ = hosts_.hosts_.size();
    }

    void step_config_tracker(time_point now)
    {
        plans::on_peers_answered(config_tracker_, peer_answers(now));
        carry_out(plans::set_watcher(config_tracker_, is_watching(now), now), now);
        carry_out(plans::on_timer(config_tracker_, now), now);
        const bool ready = plans::is_ready(config_tracker_, now) && !leaving_;
        if (ready != ready_) {
            ready_ = ready;
            telemetry::state_change(ready ? "host_ready" : "host_not_ready", {});
            callbacks_.on_ready_(ready);
        }
    }

    bool holds_lease(time_point now) const
    {
        return std::any_of(leases_.begin(), leases_.end(),
                           [&](const lease& each) { return is_held(each, now); });
    }

    // Whether the object API is this host's only source, because no peer is linked.
    bool is_isolated(time_point now) const
    {
        return linked_.empty() && now - last_linked_ >= timing_.isolated_after_;
    }

    bool is_watching(time_point now) const { return holds_lease(now) || is_isolated(now); }

    plans::peers_answered peer_answers(time_point now) const
    {
        const std::size_t seeds = settings_.peer_ ? settings_.peer_->seeds_.size() : 0;
        const std::size_t named = std::max(seeds, listed_peers_.size());
        if (!settings_.peer_ || (named == 0 && host_list_known_)) {
            return plans::peers_answered::all;
        }
        // By then a digest was sent over a link, so the peers were asked again after their earlier
        // answers became invalid.
        const bool settled = now - answers_.valid_from_ >= timing_.contend_after_;
        return !linked_.empty() && settled ? plans::peers_answered::some
                                           : plans::peers_answered::none;
    }

    void step_leases(time_point now)
    {
        const bool contends =
            !leaving_ && now - started_ >= timing_.contend_after_ && is_watch_contender(hosts_);
        for (std::size_t slot = 0; slot < leases_.size(); ++slot) {
            const lease& other = leases_[1 - slot];
            const bool has_other = is_held(other, now) || has_write_pending(other);
            if (const auto call = on_timer(leases_[slot], contends && !has_other, now)) {
                submit(store_purpose::lease, slot, call->operation_, leases_[slot].settings_.key_,
                       call->value_, call->expected_version_, call_timeout);
            }
        }
        const bool holds = holds_lease(now);
        if (holds != holds_lease_) {
            holds_lease_ = holds;
            task_.counters_.watching_ = holds ? 1 : 0;
            task_.counters_.lease_terms_ += holds ? 1 : 0;
            status_version_.reset();
            telemetry::state_change(holds ? "watch_lease_taken" : "watch_lease_ended", {});
        }
    }

    static bool has_write_pending(const lease& state)
    {
        return state.call_ && state.call_->operation_ != store::operation::get;
    }

    // Watchers read the list. Other hosts read it only until they have received one.
    void step_host_list(time_point now)
    {
        const bool due = now >= next_host_list_ && !host_list_call_pending_;
        if (!due || (host_list_known_ && !is_watching(now))) {
            return;
        }
        host_list_call_pending_ = true;
        ++task_.counters_.host_list_calls_;
        host_list_.fetch(call_timeout, [box = inbox_](store::host_list_reply reply) {
            box->post(std::move(reply));
        });
    }

    // Only the current holder of the first lease writes the status record.
    void step_status(time_point now)
    {
        if (!is_held(leases_[0], now) || now < next_status_ || status_call_pending_) {
            return;
        }
        status_call_pending_ = true;
        next_status_ = now + store::status_report_period;
        const std::string key = store::status_key(settings_.host_.data_centre_);
        if (!status_version_) {
            submit(store_purpose::status, 0, store::operation::get, key, "", 0, call_timeout);
            return;
        }
        submit(store_purpose::status, 0,
               *status_version_ == 0 ? store::operation::create : store::operation::update, key,
               store::print(status_now()), *status_version_, call_timeout);
    }

    void on_status_answer(const store_answer& answer, time_point now)
    {
        status_call_pending_ = false;
        if (answer.reply_.status_ == store::call_status::ok && !answer.reply_.objects_.empty()) {
            status_version_ = answer.reply_.objects_.front().version_;
        }
        else if (answer.reply_.status_ == store::call_status::not_found) {
            status_version_ = 0;
        }
        else {
            status_version_.reset(); // read before the next write
            return;
        }
        if (answer.operation_ == store::operation::get) {
            next_status_ = now;
        }
    }

    store::status_record status_now() const
    {
        store::status_record record;
        record.data_centre_ = settings_.host_.data_centre_;
        record.reporter_ = hosts_.self_;
        record.written_ms_ = unix_ms();
        for (const auto& [id, state] : hosts_.hosts_) {
            if (state.data_centre_ != record.data_centre_ || state.leaving_) {
                continue;
            }
            const bool behind = state.lists_version_ < plans::held_version(config_tracker_);
            record.hosts_.push_back(
                {id, state.lists_version_, behind ? "has not taken in the newest lists yet" : ""});
        }
        return record;
    }

    // Publishes this host's own fact when it has changed or is due for renewal.
    void step_host_fact(time_point now)
    {
        peer::host_state own_state;
        own_state.data_centre_ = settings_.host_.data_centre_;
        own_state.region_ = settings_.host_.region_;
        own_state.address_ = exchange_address_;
        own_state.public_key_ = settings_.peer_ ? settings_.peer_->public_key_ : "";
        own_state.lists_version_ = plans::held_version(config_tracker_);
        own_state.ready_ = ready_;
        own_state.leaving_ = leaving_;
        own_state.watching_ = holds_lease_;
        own_state.store_lost_ = store_failures_ >= store_failures_until_lost;
        const bool changed = !(hosts_.hosts_[hosts_.self_] == own_state);
        if (now < (changed ? next_host_change_ : next_host_fact_)) {
            return;
        }
        hosts_.hosts_[hosts_.self_] = own_state;
        next_host_fact_ = now + host_fact_period;
        next_host_change_ = now + host_fact_min_interval;
        publish({peer::fact_kind::host, hosts_.self_, ++host_version_, peer::encode(own_state),
                 host_fact_lifetime_s});
    }

    void step_links(time_point now)
    {
        if (!peers_ || now < next_links_) {
            return;
        }
        next_links_ = now + timing_.links_period_;
        std::vector<peer::peer_address> links = choose_links(hosts_);
        add_unknown_address(links, now);
        if (links != links_) {
            links_ = links;
            peers_->post(peer::set_links{std::move(links)});
        }
    }

    // Adds a link to one address that the host view lacks, and picks another from time to time. It
    // lets hosts reconnect after a network partition. Without any linked peer the choice changes
    // faster.
    void add_unknown_address(std::vector<peer::peer_address>& links, time_point now)
    {
        std::vector<settings::endpoint> unknown_addresses;
        const auto consider = [&](const settings::endpoint& address) {
            const bool known =
                std::any_of(hosts_.hosts_.begin(), hosts_.hosts_.end(),
                            [&](const auto& host) { return host.second.address_ == address; });
            if (!known) {
                unknown_addresses.push_back(address);
            }
        };
        std::for_each(settings_.peer_->seeds_.begin(), settings_.peer_->seeds_.end(), consider);
        std::for_each(listed_peers_.begin(), listed_peers_.end(), consider);
        if (unknown_addresses.empty()) {
            return;
        }
        if (now >= next_unknown_address_) {
            next_unknown_address_ = now + (linked_.empty() ? timing_.unknown_address_period_ / 3
                                                           : timing_.unknown_address_period_);
            unknown_address_choice_ = random_();
        }
        links.push_back(
            {unknown_addresses[unknown_address_choice_ % unknown_addresses.size()], ""});
    }

    // Effects.

    void carry_out(const plans::config_tracker_actions& actions, time_point now)
    {
        const std::string key{plans::configuration_key};
        for (const plans::config_tracker_action& action : actions) {
            switch (action.kind_) {
            case plans::config_tracker_action_kind::read_store:
                submit(store_purpose::configuration, 0, store::operation::get, key, "", 0,
                       action.timeout_);
                break;
            case plans::config_tracker_action_kind::watch_store:
                submit(store_purpose::configuration, 0, store::operation::watch, key, "",
                       action.above_version_, action.timeout_);
                break;
            case plans::config_tracker_action_kind::adopted:
                adopt(now);
                break;
            }
        }
    }

    void adopt(time_point now)
    {
        const std::uint64_t version = plans::held_version(config_tracker_);
        task_.counters_.lists_version_ = version;
        telemetry::state_change("lists_adopted", {{"version", std::to_string(version)}});
        callbacks_.on_lists_(config_tracker_.in_force_->lists_);
        publish({peer::fact_kind::configuration, "", version, config_tracker_.text_, 0});
        step_host_fact(now);
    }

    void submit(store_purpose purpose, std::size_t slot, store::operation operation,
                const std::string& key, const std::string& value, std::uint64_t expected,
                duration timeout)
    {
        ++task_.counters_.store_calls_;
        store::object_call call;
        call.operation_ = operation;
        call.key_ = key;
        call.value_ = value;
        call.expected_version_ = expected;
        call.timeout_ = timeout;
        call.done_ = [box = inbox_, purpose, slot, operation](store::object_reply reply) {
            box->post(store_answer{purpose, slot, operation, std::move(reply)});
        };
        store_.submit(std::move(call));
    }

    void count_store_failures(store::call_status status)
    {
        store_failures_ = is_failure(status) ? store_failures_ + 1 : 0;
    }

    void publish(peer::fact new_fact)
    {
        if (peers_) {
            peers_->post(peer::publish_fact{std::move(new_fact)});
        }
    }

    void report_targets()
    {
        for (const std::string& service : std::exchange(targets_.changed_, {})) {
            callbacks_.on_targets_(service, targets_of(targets_, service));
        }
    }

    // Limits on the probes of all hosts together.
    void make_shares()
    {
        for (const settings::service& service : settings_.services_) {
            add_share("probes/" + service.name_, service.probes_per_second_);
            add_share("probe_bytes/" + service.name_, service.probe_bytes_per_second_);
        }
    }

    void add_share(const std::string& resource, std::uint64_t total)
    {
        // Nonces are based on the time, so they increase from one incarnation to the next.
        const auto first_nonce = static_cast<std::uint64_t>(unix_ms()) << peer::host_counter_bits;
        shares_[resource] = make_share({resource, total, settings_.host_.hosts_max_,
                                        timing_.share_term_, timing_.share_margin_},
                                       first_nonce, started_);
    }

    void step_shares(time_point now)
    {
        for (auto& [resource, state] : shares_) {
            if (auto wanted = make_share_request(state, now); wanted && peers_) {
                peers_->post(peer::send_share{"", peer::message_kind::share_request, *wanted});
            }
            report_share(state, now);
        }
    }

    void on_share_message(const peer::share_received& received, time_point now)
    {
        const auto it = shares_.find(received.share_.resource_);
        if (it == shares_.end()) {
            return;
        }
        if (received.kind_ == peer::message_kind::share_grant) {
            on_share_grant(it->second, received.share_, now);
            return;
        }
        if (const auto grant = on_share_request(it->second, received.peer_, received.share_, now)) {
            report_share(it->second, now); // reduces the local limit before the grant is sent
            peers_->post(peer::send_share{received.peer_, peer::message_kind::share_grant, *grant});
        }
    }

    // Reports the limit to the request path when it has changed.
    void report_share(const share& state, time_point now)
    {
        const time_point until = next_change(state, now);
        const bool ends = until != time_point::max();
        const std::uint64_t amount = usable_amount(state, now);
        const share_limit limit{state.settings_.resource_, amount,
                                ends ? usable_amount(state, until) : amount, until};
        share_limit& reported = reported_limits_[limit.resource_];
        if (reported.resource_.empty() || reported.amount_ != limit.amount_ ||
            reported.next_amount_ != limit.next_amount_ || reported.until_ != limit.until_) {
            reported = limit;
            callbacks_.on_share_(limit);
        }
    }

    control_task& task_;
    settings::settings settings_;
    store::object_client& store_;
    store::host_list_client& host_list_;
    control_callbacks callbacks_;
    control_timing timing_;
    random_source random_;
    time_point started_;

    plans::config_tracker config_tracker_;
    start_answers answers_;
    target_view targets_;
    host_view hosts_;
    std::array<lease, watchers_per_data_centre> leases_;
    bool holds_lease_ = false;
    bool ready_ = false;
    bool leaving_ = false;

    std::set<std::string> linked_;
    time_point last_linked_;
    settings::endpoint exchange_address_;
    std::vector<peer::peer_address> links_;
    time_point next_links_;
    std::uint64_t unknown_address_choice_ = 0;
    time_point next_unknown_address_;

    std::uint64_t host_version_ = 0;
    time_point next_host_fact_;
    time_point next_host_change_;
    std::uint32_t store_failures_ = 0; // consecutive

    bool host_list_known_ = false;
    bool host_list_call_pending_ = false;
    time_point next_host_list_;
    time_point host_list_published_;
    std::string host_list_payload_;
    std::size_t unreadable_hosts_ = 0; // in the last list, for the log
    std::uint64_t host_list_version_ = 0;
    std::vector<settings::endpoint> listed_peers_;

    std::map<std::string, share> shares_; // by resource
    std::map<std::string, share_limit> reported_limits_;

    std::optional<std::uint64_t> status_version_; // 0: the record does not exist
    bool status_call_pending_ = false;
    time_point next_status_;
};

control_task::control_task(const settings::settings& settings, store::object_client& store,
                           store::host_list_client& host_list, control_callbacks callbacks,
                           const control_timing& timing)
    : loop_{std::make_unique<loop>(*this, settings, store, host_list, std::move(callbacks), timing)}
{
}

control_task::~control_task()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

result<void> control_task::start()
{
    const result<settings::endpoint> bound = loop_->start_exchange();
    if (!bound) {
        return tl::unexpected{bound.error()};
    }
    exchange_address_ = *bound;
    thread_ = std::thread{[this] { loop_->run(); }};
    return {};
}

void control_task::post(control_event event)
{
    loop_->inbox_->post(std::move(event));
}

const peer::peer_counters* control_task::exchange_counters() const
{
    return loop_->peers_ ? &loop_->peers_->counters() : nullptr;
}

} // namespace savoryscale::membership
