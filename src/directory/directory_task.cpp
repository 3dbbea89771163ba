#include "directory/directory_task.hpp"

#include "admission/quarantine.hpp"
#include "directory/dialect.hpp"
#include "http/event_loop.hpp"
#include "http/log_fields.hpp"
#include "store/tolerant_json.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

using namespace std::chrono_literals;

// Connections to the store: for each kind that is followed, one in use and one to replace it
// if it does not respond.
constexpr std::size_t connections_max = 10;

// Fractions of the drain time, within which every host must learn that a target is leaving. A host
// that serves no peers pauses for default_pause_fraction between an update and the next call; the
// rest is for the call itself and for requests that were placed just before. A host that serves
// peers pauses less and has the store confirm its data every serving_wait_fraction. Peers rely on
// that data up to feed_age_max_fraction; after that they still need time to ask the store.
constexpr double default_pause_fraction = 0.8;
constexpr double serving_pause_fraction = 0.15;
constexpr double serving_wait_fraction = 0.35;
constexpr double feed_age_max_fraction = 0.6;

// Maximum backoff between failed calls. A host that has peers but serves none calls the store only
// when the peers have lost it too. It retries less often, as the peers will report the recovery.
constexpr duration backoff_max = 800ms;
constexpr duration peer_client_backoff_max = 2400ms;

// How long the store may hold a watch without changes when no peer relies on this host.
constexpr duration default_wait = 20s;

// How long a peer's request is held without updates, as a fraction of the maximum feed age.
constexpr double feed_hold_fraction = 0.9;

// Added to the maximum feed age to get the timeout of a request to a peer.
constexpr duration feed_response_margin = 500ms;

// Hosts named to one that asks; a request needs one or two of them.
constexpr std::size_t known_hosts_max = 31;

// No entry expires in a store outage shorter than this.
constexpr duration outage_min = 1s;

duration fraction_of(settings::seconds total, double fraction)
{
    return std::chrono::duration_cast<duration>(total * fraction);
}

follow_options target_options(const settings::directory& config)
{
    follow_options options;
    options.allow_stale_first_list_ = true;
    options.pause_ = fraction_of(config.drain_, default_pause_fraction);
    options.wait_ = default_wait;
    return options;
}

} // namespace

directory_task::directory_task(http::event_loop& loop, const settings::directory& config,
                               const dialect& store_dialect, const settings::host& host,
                               std::uint64_t seed, directory_events events)
    : loop_{loop},
      config_{config},
      dialect_{store_dialect},
      host_id_{host.id_},
      data_centre_{host.data_centre_},
      random_{seed},
      events_{std::move(events)},
      pool_{loop, config.store_, false, connections_max},
      configuration_{
          loop,
          pool_,
          store_dialect,
          store_dialect.configuration_kind_,
          {},
          random_,
          {[this](const follow_update& update) { on_configuration(update); },
           events_.on_store_call_,
           [this](auto era, time_point began) { return on_era(era, began, configuration_); }}},
      targets_{loop,
               pool_,
               store_dialect,
               store_dialect.targets_kind_,
               target_options(config),
               random_,
               {[this](const follow_update& update) { on_targets(update); }, events_.on_store_call_,
                [this](auto era, time_point began) { return on_era(era, began, targets_); }}},
      emptied_{loop,
               pool_,
               store_dialect,
               store_dialect.emptied_kind_,
               {},
               random_,
               {[this](const follow_update& update) { on_emptied(update); }, events_.on_store_call_,
                [this](auto era, time_point began) { return on_era(era, began, emptied_); }}},
      keeper_{loop,
              pool_,
              store_dialect,
              random_,
              {[this](const std::vector<peer::fact>& kept) { receive_suspicions(kept); },
               events_.on_store_call_}},
      client_{loop,
              fraction_of(config.drain_, feed_age_max_fraction) + feed_response_margin,
              random_,
              {[this](const feed_page& page) { return on_page(page); },
               [this] { return requested_position(); }, [this] { return own_announcement(); },
               events_.on_peers_lost_}},
      server_{
          loop,
          feed_,
          fraction_of(config.drain_, feed_age_max_fraction * feed_hold_fraction),
          {[this](const std::optional<announced_host>& reader) {
               source_.last_peer_request_ = loop_.now();
               if (reader) {
                   on_host_heard(host_table_, *reader, loop_.now());
               }
               check_sources();
           },
           [this](std::string_view data_centre) { return write_hosts(known_hosts(data_centre)); },
           [this] { return is_complete() ? as_of(source_) : std::nullopt; },
           events_.on_peer_request_}}
{
    pool_.enable_tcp_keepalive();
    feed_.epoch_ = random_() | 1U; // 0 is the position of a reader that has no data
    source_.options_.age_max_ = fraction_of(config.drain_, feed_age_max_fraction);
    if (config.feed_) {
        source_.options_.patience_ = config.feed_->patience_;
    }
}

directory_task::~directory_task()
{
    loop_.cancel(expiry_timer_);
    loop_.cancel(source_check_timer_);
    loop_.cancel(emptied_timer_);
}

result<std::uint16_t> directory_task::start()
{
    source_.started_ = loop_.now();
    start_emptied();
    std::uint16_t port = 0;
    if (config_.feed_) {
        auto opened = server_.open(config_.feed_->address_);
        if (!opened) {
            return opened;
        }
        port = *opened;
        set_peers(config_.feed_->hosts_);
    }
    check_sources();
    return port;
}

void directory_task::set_peers(const std::vector<settings::endpoint>& hosts)
{
    const settings::endpoint& own = config_.feed_->address_;
    const auto others = peer_order(hosts, own, host_id_);
    source_.has_peers_ = !others.empty();
    source_.is_configured_source_ = std::find(hosts.begin(), hosts.end(), own) != hosts.end();
    client_.set_peers(others);
    check_sources();
}

// Starts or stops calls to the store and to peers, as source.hpp decides at this time.
void directory_task::check_sources()
{
    if (std::exchange(checking_sources_, true)) {
        return; // re-entered from a call that this function started
    }
    const time_point now = loop_.now();
    loop_.cancel(std::exchange(source_check_timer_, 0));
    const bool serving = is_serving_peers(source_, now);
    targets_.set_pace(
        fraction_of(config_.drain_, serving ? serving_pause_fraction : default_pause_fraction),
        serving ? fraction_of(config_.drain_, serving_wait_fraction) : default_wait);
    if (source_.has_peers_ && !serving) {
        targets_.set_backoff(peer_client_backoff_max, peer_client_backoff_max);
        emptied_.set_backoff(peer_client_backoff_max, peer_client_backoff_max);
    }
    else {
        targets_.set_backoff(duration::zero(), backoff_max);
        emptied_.set_backoff(duration::zero(), backoff_max);
    }
    const bool store_needed = is_store_needed(source_, now);
    if (store_needed && source_.peer_as_of_ && !targets_.is_running()) {
        client_.skip_peer();
    }
    set_store_active(store_needed);
    check_emptied_source(now);
    check_peer_requests(now);
    keeper_.set_reading(store_needed && source_.has_peers_, source_.is_configured_source_);
    const auto never = time_point::max();
    const time_point next = std::min(next_source_check(source_, now).value_or(never),
                                     next_emptied_check(now).value_or(never));
    if (next != never) {
        source_check_timer_ = loop_.at(next, [this] {
            source_check_timer_ = 0;
            check_sources();
        });
    }
    checking_sources_ = false;
}

void directory_task::set_store_active(bool store_needed)
{
    if (store_needed == targets_.is_running()) {
        return;
    }
    const auto known = as_of(source_);
    telemetry::state_change("source_changed",
                            {{"source", store_needed ? "store" : client_.peer_name()},
                             {"known_age_ms", known ? http::log_ms(loop_.now() - *known) : ""},
                             {"targets_revision", std::to_string(feed_.targets_revision_)},
                             {"era", std::to_string(era_.value_)},
                             {"version", std::to_string(version_)}});
    if (!store_needed) {
        configuration_.stop();
        targets_.stop();
        return;
    }
    targets_.start({feed_.store_era_, targets_listed_ ? feed_.targets_revision_ : 0},
                   store_down_since_);
    if (version_ == 0) {
        configuration_.start({}, std::nullopt);
    }
}

// Records the time at which the data of this host was last up to date with the store. A waiting
// watch delivers a new desired state at once, so it counts as outdated only while its calls fail.
void directory_task::update_store_as_of()
{
    auto confirmed_at = targets_.last_confirmed_at();
    if (confirmed_at && configuration_.failing_since()) {
        confirmed_at = std::min(*confirmed_at, *configuration_.failing_since());
    }
    if (confirmed_at && (!source_.store_as_of_ || *confirmed_at > *source_.store_as_of_)) {
        source_.store_as_of_ = confirmed_at;
        store_down_since_.reset();
    }
}

// Returns whether the answer that names this era may be used. `answered`: the follower that got it.
bool directory_task::on_era(std::optional<std::uint64_t> named, time_point began,
                            const follower& answered)
{
    const std::uint64_t before = era_.value_;
    const era_change change = on_era_heard(era_, named, began, loop_.now());
    if (change == era_change::changed) {
        change_era(before);
        if (before != 0) {
            on_store_restored(&answered);
        }
    }
    return change != era_change::outdated;
}

// `known`: the follower that knows already; null: none does.
void directory_task::on_store_restored(const follower* known)
{
    for (follower* each : {&configuration_, &targets_, &emptied_}) {
        if (each != known) {
            each->on_store_restored();
        }
    }
}

// The revisions known until now mean nothing in the new era. Entries of targets that the store has
// lost are kept for a while, in which the targets write them again.
void directory_task::change_era(std::uint64_t before)
{
    telemetry::state_change(
        "store_era_changed",
        {{"era", std::to_string(era_.value_)},
         {"before", std::to_string(before)},
         {"targets_revision", std::to_string(feed_.targets_revision_)},
         {"configuration_revision", std::to_string(feed_.configuration_revision_)}});
    if (feed_.store_era_ != era_.value_) {
        set_store_era(feed_, era_.value_);
    }
    told_ = {};
    if (before != 0) {
        on_data_lost(contact_);
        on_store_recovered(registry_, loop_.now());
        keeper_.on_store_restored();
    }
    if (events_.on_store_era_) {
        events_.on_store_era_(era_.value_);
    }
}

// Called after an update or a confirmation that nothing has changed.
void directory_task::after_update()
{
    server_.answer_readers();
    check_sources();
}

bool directory_task::is_older(const feed_page& page) const
{
    const bool eras_known = page.store_era_ != 0 && feed_.store_era_ != 0;
    if (eras_known && page.store_era_ != feed_.store_era_) {
        return page.store_era_ < feed_.store_era_;
    }
    return page.targets_revision_ < feed_.targets_revision_;
}

// Returns why another peer is to be asked; empty: none is.
std::string_view directory_task::on_page(const feed_page& page)
{
    on_peer_contact(page);
    if (!apply_page(page)) {
        return "the peer's data is older than the data of this host";
    }
    return is_gap_in_doubt() ? "the peer was not in contact with the store either" : "";
}

// Applies a peer's page unless this host already has newer data. Returns whether it was applied.
bool directory_task::apply_page(const feed_page& page)
{
    if (is_older(page) || page.version_ < version_ || (!targets_listed_ && !page.complete_)) {
        return false;
    }
    const time_point now = loop_.now();
    if (page.store_era_ > era_.value_) {
        const std::uint64_t before = std::exchange(era_, {page.store_era_, now}).value_;
        change_era(before);
        if (before != 0) {
            on_store_restored(nullptr);
        }
    }
    if (page.version_ > version_ && !page.document_.empty()) {
        const auto value = store::parse_tolerantly(page.document_);
        apply_desired_state(value, page.document_, page.configuration_revision_);
    }
    if (page.version_ != version_) {
        return false; // its desired state could not be read
    }
    feed_.configuration_revision_ =
        std::max(feed_.configuration_revision_, page.configuration_revision_);
    if (page.targets_revision_ > told_.revision_) {
        told_ = {page.targets_revision_, now};
    }
    feed_.targets_revision_ = page.targets_revision_;
    feed_.store_era_ = page.store_era_;
    const bool peer_started = position_.epoch_ != page.epoch_;
    position_ = {page.epoch_, page.sequence_, version_};
    targets_listed_ = true;
    const time_point confirmed_at = now - page.age_;
    source_.peer_as_of_ = std::max(source_.peer_as_of_.value_or(confirmed_at), confirmed_at);
    if (page.age_ >= outage_min) {
        store_down_since_ = store_down_since_.value_or(confirmed_at);
    }
    else {
        store_down_since_.reset();
    }
    for (const std::string& id : page.rejected_targets_) {
        log_rejected_entry(id, {error_kind::invalid, id, "a field is missing or invalid",
                                "run compatible releases on all entry hosts"});
    }
    apply_page_emptied(page, now);
    apply_page_targets(page, now);
    receive_suspicions(page.suspicions_);
    if (peer_started && events_.on_peer_started_) {
        events_.on_peer_started_(client_.peer_name());
    }
    after_update();
    return true;
}

std::optional<announced_host> directory_task::own_announcement() const
{
    if (!config_.feed_ || !config_.feed_->relay_) {
        return std::nullopt;
    }
    announced_host own{*config_.feed_->relay_, data_centre_, {}, peer::own_formats};
    if (events_.unreached_services_) {
        own.unreached_ = events_.unreached_services_();
    }
    return own;
}

std::vector<announced_host> directory_task::known_hosts(std::string_view data_centre)
{
    auto hosts = sample_hosts(host_table_, data_centre, known_hosts_max, loop_.now(), random_);
    if (const auto own = own_announcement()) {
        hosts.push_back(*own);
    }
    return hosts;
}

void directory_task::receive_suspicions(const std::vector<peer::fact>& suspicions)
{
    if (!suspicions.empty() && events_.on_suspicions_) {
        const bool before = std::exchange(receiving_suspicions_, true);
        events_.on_suspicions_(suspicions);
        receiving_suspicions_ = before;
    }
}

void directory_task::share_suspicion(const peer::fact& suspicion)
{
    if (admission::concerns_all_hosts(suspicion)) {
        update_suspicion(feed_, suspicion, loop_.now());
        server_.answer_readers();
    }
    keeper_.on_suspicion(suspicion, !receiving_suspicions_);
}

void directory_task::apply_page_targets(const feed_page& page, time_point now)
{
    if (page.complete_) {
        std::vector<target_entry> listed;
        for (const feed_target& target : page.targets_) {
            if (!target.gone_) {
                listed.push_back(target.entry_);
            }
        }
        on_list(registry_, listed, now);
    }
    else {
        for (const feed_target& target : page.targets_) {
            if (target.gone_) {
                on_removed(registry_, target.entry_.id_, now);
            }
            else {
                on_entry(registry_, target.entry_);
            }
        }
    }
    publish_target_changes();
    expire_missing_targets();
}

void directory_task::on_configuration(const follow_update& update)
{
    update_store_as_of();
    for (const stored_object& changed : update.objects_) {
        if (changed.name_ == dialect_.configuration_name_ && !changed.removed_) {
            apply_desired_state(changed.value_, changed.value_.dump(), changed.revision_);
        }
    }
    feed_.configuration_revision_ = configuration_.revision();
    check_sources();
}

// Returns whether this desired state was applied.
bool directory_task::apply_desired_state(const nlohmann::json& value, std::string document,
                                         std::uint64_t revision)
{
    auto state = dialect_.read_desired_state_(value);
    if (!state) {
        telemetry::state_change("desired_state_refused", {{"why", to_string(state.error())}},
                                telemetry::severity::error);
        return false;
    }
    if (state->version_ <= version_) {
        return false;
    }
    telemetry::state_change("desired_state_applied",
                            {{"version", std::to_string(state->version_)},
                             {"before", std::to_string(version_)},
                             {"at_revision", std::to_string(revision)},
                             {"bytes", std::to_string(document.size())},
                             {"routes", std::to_string(state->routes_.size())}});
    version_ = state->version_;
    update_desired_state(feed_, version_, std::move(document));
    std::set<std::string, std::less<>> services;
    for (const routes::routed_service& service : state->services_) {
        services.insert(service.name_);
    }
    // Targets may have been published before their service was known.
    on_services_named(registry_, std::move(services));
    events_.on_desired_state_(std::move(*state));
    publish_target_changes();
    server_.answer_readers();
    return true;
}

void directory_task::on_targets(const follow_update& update)
{
    const time_point now = loop_.now();
    update_store_as_of();
    const bool after_outage = update.outage_duration_ && *update.outage_duration_ >= outage_min;
    on_store_contact(
        {after_outage || !contact_.current_ ? now : contact_.current_->confirmed_at_, now});
    if (update.outage_duration_) {
        keeper_.on_store_regained();
    }
    apply_target_update(update, now);
    feed_.targets_revision_ = std::max(feed_.targets_revision_, targets_.revision());
    // While the store may be unavailable, only targets are requested, until it responds.
    if (targets_.is_running() && !configuration_.is_running()) {
        configuration_.start({feed_.store_era_, feed_.configuration_revision_}, std::nullopt);
    }
    publish_target_changes();
    expire_missing_targets();
    after_update();
}

} // namespace savoryscale::directory
