#include "peer/exchange.hpp"

#include <algorithm>
#include <iterator>

namespace savoryscale::peer {

namespace {

// Approximate encoded size of a fact without its subject and payload.
constexpr std::size_t fact_envelope_bytes = 32;

message make_message(const exchange& state, message_kind kind)
{
    message made;
    made.kind_ = kind;
    made.sender_ = state.settings_.host_id_;
    return made;
}

fact_reference reference_to(const fact& value)
{
    return {{value.kind_, value.subject_}, value.version_, payload_hash(value.payload_)};
}

// Selects the peers that a new fact is pushed to: fan_out_ random local peers and all remote ones.
std::vector<std::string> push_targets(const exchange& state, const std::string& except,
                                      random_source& random)
{
    std::vector<std::string> local;
    std::vector<std::string> targets;
    for (const auto& [peer, linked] : state.peers_) {
        if (peer != except) {
            (linked.remote_ ? targets : local).push_back(peer);
        }
    }
    for (std::size_t i = 0; i < local.size() && i < state.settings_.fan_out_; ++i) {
        const std::size_t pick = i + uniform_below(random, local.size() - i);
        std::swap(local[i], local[pick]);
        targets.push_back(local[i]);
    }
    return targets;
}

// Sends facts in messages of at most batch_bytes_; a larger fact gets a message of its own.
void send_facts(const exchange& state, const std::string& peer, const std::vector<fact>& facts,
                exchange_actions& actions)
{
    message batch = make_message(state, message_kind::facts);
    std::size_t bytes = 0;
    for (const fact& each : facts) {
        const std::size_t size = each.payload_.size() + each.subject_.size() + fact_envelope_bytes;
        if (!batch.facts_.empty() && bytes + size > state.settings_.batch_bytes_) {
            actions.send_.push_back({peer, std::move(batch)});
            batch = make_message(state, message_kind::facts);
            bytes = 0;
        }
        batch.facts_.push_back(each);
        bytes += size;
    }
    if (!batch.facts_.empty()) {
        actions.send_.push_back({peer, std::move(batch)});
    }
}

// Pushes small facts and offers large ones.
void push(const exchange& state, const std::vector<fact>& update, const std::string& except,
          random_source& random, exchange_actions& actions)
{
    if (update.empty()) {
        return;
    }
    std::vector<fact> small;
    message offer = make_message(state, message_kind::offer);
    for (const fact& each : update) {
        if (each.payload_.size() > state.settings_.offer_above_) {
            offer.references_.push_back(reference_to(each));
        }
        else {
            small.push_back(each);
        }
    }
    for (const std::string& peer : push_targets(state, except, random)) {
        send_facts(state, peer, small, actions);
        if (!offer.references_.empty()) {
            actions.send_.push_back({peer, offer});
        }
    }
}

// Whether this host does not have the referenced fact.
bool is_missing(const exchange& state, const fact_reference& reference)
{
    const auto held = state.table_.facts_.find(reference.key_);
    if (held == state.table_.facts_.end()) {
        return true;
    }
    if (held->second.fact_.version_ != reference.version_) {
        return held->second.fact_.version_ < reference.version_;
    }
    return held->second.payload_hash_ != reference.payload_hash_;
}

// Requests missing facts, except those requested from another peer within fetch_timeout_.
void fetch_missing(exchange& state, const std::string& peer,
                   const std::vector<fact_reference>& references, time_point now,
                   exchange_actions& actions)
{
    message fetch = make_message(state, message_kind::fetch);
    for (const fact_reference& reference : references) {
        if (!is_missing(state, reference)) {
            continue;
        }
        const auto pending = state.fetches_.find(reference.key_);
        if (pending != state.fetches_.end() && pending->second.version_ >= reference.version_ &&
            now - pending->second.requested_ < state.settings_.fetch_timeout_) {
            continue;
        }
        state.fetches_[reference.key_] = {reference.version_, now};
        fetch.references_.push_back(reference);
    }
    if (!fetch.references_.empty()) {
        actions.send_.push_back({peer, std::move(fetch)});
    }
}

void answer_fetch(const exchange& state, const message& received, time_point now,
                  exchange_actions& actions)
{
    std::vector<fact> requested;
    for (const fact_reference& reference : received.references_) {
        const auto held = state.table_.facts_.find(reference.key_);
        if (held != state.table_.facts_.end() && is_sendable(held->second, now)) {
            requested.push_back(with_remaining_lifetime(held->second, now));
        }
    }
    send_facts(state, received.sender_, requested, actions);
}

void answer_digest(const exchange& state, const message& received, time_point now,
                   exchange_actions& actions)
{
    const table_digest own = digest_of(state.table_, now);
    message answer = make_message(state, message_kind::references);
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket) {
        if (own[bucket] == received.digest_[bucket]) {
            continue;
        }
        const std::vector<fact_reference> references =
            references_of(state.table_, 1U << bucket, now);
        // The first bucket is always sent. Others that do not fit wait for the next digest.
        if (answer.buckets_ != 0 &&
            answer.references_.size() + references.size() > state.settings_.batch_references_) {
            break;
        }
        answer.buckets_ |= 1U << bucket;
        answer.references_.insert(answer.references_.end(), references.begin(), references.end());
    }
    if (answer.buckets_ != 0) {
        actions.send_.push_back({received.sender_, std::move(answer)});
    }
}

// Handles a peer's complete list of some buckets: sends facts it does not have, requests those
// missing here.
void reconcile_references(exchange& state, const message& received, time_point now,
                          exchange_actions& actions)
{
    std::map<fact_key, fact_reference> peer_references;
    for (const fact_reference& reference : received.references_) {
        peer_references.emplace(reference.key_, reference);
    }
    std::vector<fact> missing_there;
    for (const fact_reference& own : references_of(state.table_, received.buckets_, now)) {
        const auto peer_version = peer_references.find(own.key_);
        const bool send = peer_version == peer_references.end() ||
                          peer_version->second.version_ < own.version_ ||
                          (peer_version->second.version_ == own.version_ &&
                           peer_version->second.payload_hash_ != own.payload_hash_);
        if (send) {
            missing_there.push_back(with_remaining_lifetime(state.table_.facts_.at(own.key_), now));
        }
    }
    send_facts(state, received.sender_, missing_there, actions);
    fetch_missing(state, received.sender_, received.references_, now, actions);
}

void merge_facts(exchange& state, const message& received, time_point now, random_source& random,
                 exchange_actions& actions)
{
    for (const fact& each : received.facts_) {
        state.fetches_.erase({each.kind_, each.subject_});
        if (merge(state.table_, each, now) == merge_result::changed) {
            actions.learned_.push_back(each);
        }
    }
    push(state, actions.learned_, received.sender_, random, actions);
}

void refill_budget(exchange& state, time_point now)
{
    const std::chrono::duration<double> passed = now - state.budget_time_;
    state.budget_time_ = now;
    state.budget_bytes_ =
        std::min(state.budget_bytes_ + passed.count() * state.settings_.budget_bytes_per_second_,
                 state.settings_.budget_burst_bytes_);
}

// Returns 0.5 to 1.5 periods, so that hosts do not synchronise.
duration jittered(duration period, random_source& random)
{
    return std::chrono::duration_cast<duration>(period * (0.5 + uniform_unit(random)));
}

void send_digest(const exchange& state, time_point now, random_source& random,
                 exchange_actions& actions)
{
    const auto pick =
        std::next(state.peers_.begin(),
                  static_cast<std::ptrdiff_t>(uniform_below(random, state.peers_.size())));
    message sent = make_message(state, message_kind::digest);
    sent.digest_ = digest_of(state.table_, now);
    actions.send_.push_back({pick->first, std::move(sent)});
}

} // namespace

exchange make_exchange(exchange_settings settings, time_point now, random_source& random)
{
    exchange state;
    state.settings_ = std::move(settings);
    state.next_digest_ = now + jittered(state.settings_.digest_period_, random);
    state.budget_time_ = now;
    state.budget_bytes_ = state.settings_.budget_burst_bytes_;
    return state;
}

void link_peer(exchange& state, const std::string& peer, bool remote)
{
    state.peers_[peer].remote_ = remote;
}

void unlink_peer(exchange& state, const std::string& peer)
{
    state.peers_.erase(peer);
}

exchange_actions publish(exchange& state, const fact& update, time_point now, random_source& random)
{
    exchange_actions actions;
    if (merge(state.table_, update, now) == merge_result::changed) {
        push(state, {update}, "", random, actions);
    }
    return actions;
}

exchange_actions receive(exchange& state, const message& received, time_point now,
                         random_source& random)
{
    exchange_actions actions;
    switch (received.kind_) {
    case message_kind::facts:
        merge_facts(state, received, now, random, actions);
        break;
    case message_kind::offer:
        fetch_missing(state, received.sender_, received.references_, now, actions);
        break;
    case message_kind::digest:
        answer_digest(state, received, now, actions);
        break;
    case message_kind::references:
        reconcile_references(state, received, now, actions);
        break;
    case message_kind::fetch:
        answer_fetch(state, received, now, actions);
        break;
    default:
        break;
    }
    return actions;
}

exchange_actions tick(exchange& state, time_point now, random_source& random)
{
    exchange_actions actions;
    refill_budget(state, now);
    actions.expired_ = expire(state.table_, now);
    std::erase_if(state.fetches_, [&](const auto& fetch) {
        return now - fetch.second.requested_ >= state.settings_.fetch_timeout_;
    });
    if (now < state.next_digest_) {
        return actions;
    }
    state.next_digest_ = now + jittered(state.settings_.digest_period_, random);
    if (state.budget_bytes_ >= 0 && !state.peers_.empty()) {
        send_digest(state, now, random, actions);
    }
    return actions;
}

void charge(exchange& state, std::size_t bytes)
{
    state.budget_bytes_ -= static_cast<double>(bytes);
}

} // namespace savoryscale::peer
