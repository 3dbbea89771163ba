#include "admission/kept_suspicions.hpp"

#include "base/backoff.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::admission {

namespace {

// Quadrupled for each of the first tries, which together last through a short outage.
constexpr duration retry_min = std::chrono::milliseconds{200};
constexpr duration retry_max = std::chrono::seconds{30};

// A store that does not take the kind at all is asked this seldom, by every host that has something
// to write.
constexpr duration late_retry = std::chrono::minutes{2};

duration retry_wait(std::uint32_t failures, random_source& random)
{
    return failures < kept_tries_max ? backoff(retry_min, retry_max, 2 * (failures - 1), random)
                                     : backoff(late_retry, late_retry, 0, random);
}

bool is_due(const kept_suspicion& known, keeper_role role, time_point now)
{
    if (known.fact_.version_ <= known.stored_version_ || known.expires_at_ <= now) {
        return false;
    }
    return role == keeper_role::feed   ? concerns_all_hosts(known.fact_)
           : role == keeper_role::lone ? known.raised_here_
                                       : false;
}

void make_room(kept_suspicions& kept)
{
    if (kept.entries_.size() < kept_suspicions_max) {
        return;
    }
    kept.entries_.erase(std::min_element(
        kept.entries_.begin(), kept.entries_.end(), [](const auto& one, const auto& other) {
            return one.second.expires_at_ < other.second.expires_at_;
        }));
}

} // namespace

void on_suspicion_changed(kept_suspicions& kept, const peer::fact& changed, bool raised_here,
                          time_point now)
{
    const auto request = fingerprint_of(changed);
    if (!request) {
        return;
    }
    if (kept.entries_.count(*request) == 0) {
        make_room(kept);
    }
    kept_suspicion& known = kept.entries_[*request];
    known.fact_ = changed;
    known.expires_at_ = now + std::chrono::seconds{changed.lifetime_s_};
    known.raised_here_ |= raised_here;
}

void on_kept_read(kept_suspicions& kept, fingerprint request, std::uint64_t version,
                  std::uint64_t revision)
{
    if (kept.entries_.count(request) == 0) {
        make_room(kept);
    }
    kept_suspicion& known = kept.entries_[request];
    known.stored_version_ = version;
    known.stored_revision_ = revision;
    if (version > 0 && version >= known.fact_.version_) {
        kept.failures_ = 0; // another host has written it: the store takes suspicions
    }
}

void forget_stored(kept_suspicions& kept)
{
    for (auto& [request, known] : kept.entries_) {
        known.stored_version_ = 0;
        known.stored_revision_ = 0;
    }
}

const kept_suspicion* next_write(kept_suspicions& kept, keeper_role role, time_point now)
{
    if (kept.writing_ || now < kept.next_at_) {
        return nullptr;
    }
    const kept_suspicion* chosen = nullptr;
    for (const auto& [request, known] : kept.entries_) {
        const bool more_crashes =
            chosen == nullptr || known.fact_.version_ > chosen->fact_.version_;
        if (is_due(known, role, now) && more_crashes) {
            chosen = &known;
            kept.writing_ = request;
            kept.writing_version_ = known.fact_.version_;
        }
    }
    return chosen;
}

write_call call_for(const kept_suspicion& due)
{
    return due.stored_revision_ > 0  ? write_call::replace
           : due.stored_version_ > 0 ? write_call::read
                                     : write_call::create;
}

void on_write_ended(kept_suspicions& kept, write_end end, time_point now, random_source& random)
{
    const auto request = std::exchange(kept.writing_, std::nullopt);
    if (end == write_end::read) {
        return;
    }
    if (const auto found = request ? kept.entries_.find(*request) : kept.entries_.end();
        found != kept.entries_.end()) {
        kept_suspicion& known = found->second;
        known.stored_revision_ = 0;
        known.stored_version_ = end == write_end::written ? kept.writing_version_
                                : end == write_end::gone  ? 0
                                : end == write_end::conflict
                                    // Its version is not known yet, and is 1 at least.
                                    ? std::max<std::uint64_t>(known.stored_version_, 1)
                                    : known.stored_version_;
    }
    if (end == write_end::written) {
        kept.failures_ = 0;
        kept.next_at_ = now + kept_write_interval;
        return;
    }
    ++kept.failures_;
    const bool at_once = end == write_end::conflict && kept.failures_ < kept_tries_max;
    kept.next_at_ = at_once ? now : now + retry_wait(kept.failures_, random);
}

void on_store_regained(kept_suspicions& kept, time_point now, random_source& random)
{
    kept.failures_ = 0;
    const auto spread = static_cast<std::uint64_t>(duration{kept_write_interval}.count());
    kept.next_at_ = now + duration{static_cast<std::int64_t>(uniform_below(random, spread))};
}

std::optional<time_point> next_write_at(const kept_suspicions& kept, keeper_role role,
                                        time_point now)
{
    const bool any = std::any_of(kept.entries_.begin(), kept.entries_.end(),
                                 [&](const auto& one) { return is_due(one.second, role, now); });
    return any && !kept.writing_ ? std::optional{std::max(now, kept.next_at_)} : std::nullopt;
}

} // namespace savoryscale::admission
