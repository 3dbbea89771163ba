#include "peer/exchange.hpp"

#include <algorithm>
#include <iterator>

namespace savoryscale::peer {

namespace {

// Bytes of a reference beside its subject, roughly.
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

// The peers that a new fact goes to: a random few of the own data centre and all remote ones.
std::vector<std::string> push_targets(const exchange& state, const std::string& except,
                                      random_source& random)
{
    std::vector<std::string> near;
    std::vector<std::string> targets;
    for (const auto& [peer, linked] : state.peers_) {
        if (peer != except) {
            (linked.remote_ ? targets : near).push_back(peer);
        }
    }
    for (std::size_t i = 0; i < near.size() && i < state.settings_.fan_out_; ++i) {
        const std::size_t pick = i + uniform_below(random, near.size() - i);
        std::swap(near[i], near[pick]);
        targets.push_back(near[i]);
    }
    return targets;
}

// Sends facts in messages of bounded size.
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
void push(const exchange& state, const std::vector<fact>& news, const std::string& except,
          random_source& random, exchange_actions& actions)
{
    if (news.empty()) {
        return;
    }
    std::vector<fact> small;
    message offer = make_message(state, message_kind::offer);
    for (const fact& each : news) {
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

// Whether this host lacks what the reference names.
bool lacks(const exchange& state, const fact_reference& reference)
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

// Asks for what is missing here, unless another peer has been asked for it a moment ago.
void ask_for(exchange& state, const std::string& peer,
             const std::vector<fact_reference>& references, time_point now,
             exchange_actions& actions)
{
    message want = make_message(state, message_kind::want);
    for (const fact_reference& reference : references) {
        if (!lacks(state, reference)) {
            continue;
        }
        const auto asked = state.wants_.find(reference.key_);
        if (asked != state.wants_.end() && asked->second.version_ >= reference.version_ &&
            now - asked->second.asked_ < state.settings_.want_timeout_) {
            continue;
        }
        state.wants_[reference.key_] = {reference.version_, now};
        want.references_.push_back(reference);
    }
    if (!want.references_.empty()) {
        actions.send_.push_back({peer, std::move(want)});
    }
}

void answer_want(const exchange& state, const message& heard, time_point now,
                 exchange_actions& actions)
{
    std::vector<fact> wanted;
    for (const fact_reference& reference : heard.references_) {
        const auto held = state.table_.facts_.find(reference.key_);
        if (held != state.table_.facts_.end() && is_tellable(held->second, now)) {
            wanted.push_back(with_remaining_lifetime(held->second, now));
        }
    }
    send_facts(state, heard.sender_, wanted, actions);
}

void answer_digest(const exchange& state, const message& heard, time_point now,
                   exchange_actions& actions)
{
    const table_digest own = digest_of(state.table_, now);
    message answer = make_message(state, message_kind::references);
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket) {
        if (own[bucket] == heard.digest_[bucket]) {
            continue;
        }
        const std::vector<fact_reference> references =
            references_of(state.table_, 1U << bucket, now);
        // The first bucket always goes; others wait for the next digest when there is no room.
        if (answer.buckets_ != 0 &&
            answer.references_.size() + references.size() > state.settings_.batch_references_) {
            break;
        }
        answer.buckets_ |= 1U << bucket;
        answer.references_.insert(answer.references_.end(), references.begin(), references.end());
    }
    if (answer.buckets_ != 0) {
        actions.send_.push_back({heard.sender_, std::move(answer)});
    }
}

// The other side has listed whole buckets: send what it lacks, ask for what is missing here.
void settle_references(exchange& state, const message& heard, time_point now,
                       exchange_actions& actions)
{
    std::map<fact_key, fact_reference> theirs;
    for (const fact_reference& reference : heard.references_) {
        theirs.emplace(reference.key_, reference);
    }
    std::vector<fact> missing_there;
    for (const fact_reference& own : references_of(state.table_, heard.buckets_, now)) {
        const auto their = theirs.find(own.key_);
        const bool send = their == theirs.end() || their->second.version_ < own.version_ ||
                          (their->second.version_ == own.version_ &&
                           their->second.payload_hash_ != own.payload_hash_);
        if (send) {
            missing_there.push_back(with_remaining_lifetime(state.table_.facts_.at(own.key_), now));
        }
    }
    send_facts(state, heard.sender_, missing_there, actions);
    ask_for(state, heard.sender_, heard.references_, now, actions);
}

void learn(exchange& state, const message& heard, time_point now, random_source& random,
           exchange_actions& actions)
{
    for (const fact& each : heard.facts_) {
        state.wants_.erase({each.kind_, each.subject_});
        if (merge(state.table_, each, now) == merge_result::changed) {
            actions.learned_.push_back(each);
        }
    }
    push(state, actions.learned_, heard.sender_, random, actions);
}

void refill_budget(exchange& state, time_point now)
{
    const std::chrono::duration<double> passed = now - state.budget_time_;
    state.budget_time_ = now;
    state.budget_bytes_ =
        std::min(state.budget_bytes_ + passed.count() * state.settings_.budget_bytes_per_second_,
                 state.settings_.budget_burst_bytes_);
}

// Between half and one and a half of the period, so that hosts do not fall into step.
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

exchange_actions tell(exchange& state, const fact& news, time_point now, random_source& random)
{
    exchange_actions actions;
    if (merge(state.table_, news, now) == merge_result::changed) {
        push(state, {news}, "", random, actions);
    }
    return actions;
}

exchange_actions receive(exchange& state, const message& heard, time_point now,
                         random_source& random)
{
    exchange_actions actions;
    switch (heard.kind_) {
    case message_kind::facts:
        learn(state, heard, now, random, actions);
        break;
    case message_kind::offer:
        ask_for(state, heard.sender_, heard.references_, now, actions);
        break;
    case message_kind::digest:
        answer_digest(state, heard, now, actions);
        break;
    case message_kind::references:
        settle_references(state, heard, now, actions);
        break;
    case message_kind::want:
        answer_want(state, heard, now, actions);
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
    std::erase_if(state.wants_, [&](const auto& want) {
        return now - want.second.asked_ >= state.settings_.want_timeout_;
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
