#pragma once

// Stops requests that crash the targets that run them. Requests in flight at a crash are suspects.
// Until a completed run clears it, a suspect has one attempt at a time, at a target that runs no
// other suspect. After a second crash it is refused for some seconds and may then run once more,
// since a harmless request can share two crashes; after a third it is refused for minutes.
//
// A crash counts twice: for the request of that caller, and for its content, whoever sends it. Many
// callers send the same harmless content, so content is refused one crash later, and any caller's
// completed run clears it; the request of a caller is cleared by that caller's runs only.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "peer/fact.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::admission {

// Equal for a request and its resends, through any host.
using fingerprint = std::uint64_t;

// The parts that identify a request. `customer_`: the customer, or else the address of the caller.
// `body_digest_` is a hash of the first bytes of the body.
struct request_identity {
    std::string_view method_;
    std::string_view path_;
    std::string_view customer_;
    std::string_view idempotency_key_;
    std::uint64_t body_digest_ = 0;
};

fingerprint fingerprint_of(const request_identity&);

// Equal for requests of all callers of an organisation with this content. Idempotency keys differ
// from one request to the next, so they are no part of it. `customer_`: the organisation, if any.
fingerprint content_fingerprint_of(const request_identity&);

// Whose requests a fingerprint stands for.
enum class suspect_scope : std::uint8_t { caller, content };

// The two fingerprints of one request.
struct request_fingerprints {
    fingerprint caller_ = 0;
    fingerprint content_ = 0;

    friend bool operator==(const request_fingerprints&, const request_fingerprints&) = default;
};

inline constexpr std::uint32_t crashes_until_refused = 2;
inline constexpr std::uint32_t crashes_until_confirmed = 3;
inline constexpr std::uint32_t content_crashes_until_refused = 3;
inline constexpr std::uint32_t content_crashes_until_confirmed = 4;
inline constexpr std::size_t suspects_max = 4096;
inline constexpr std::size_t crashes_kept_max = 16; // per suspect; cleared ones are evicted first
inline constexpr std::chrono::seconds suspicion_lifetime{120};
inline constexpr std::chrono::seconds refusal_lifetime{600}; // once confirmed

// Refusal after the second crash. Long enough for the news to reach every host and for the crashed
// targets to be back.
inline constexpr std::chrono::seconds short_refusal_lifetime{8};

// A request that was sent and got no answer is remembered this long, for a target that turns out to
// have been replaced in the meantime: the time until the store has noticed that a target is gone.
inline constexpr std::chrono::seconds unanswered_lifetime{15};
inline constexpr std::size_t unanswered_max = 2048; // two for each request

// One crash with the request in flight. Its name is the target's name and a count, so that two
// crashes of one target differ, and two hosts that saw the same crash use the same name.
struct crash {
    bool cleared_ = false; // the request has completed a run since
    time_point received_at_{};
};

struct suspect {
    suspect_scope scope_ = suspect_scope::caller;
    std::map<std::string, crash, std::less<>> crashes_; // by name
    time_point refused_until_{};
    time_point expires_at_{};
};

// One attempt in flight.
struct running_request {
    fingerprint request_ = 0;
    time_point started_at_{};
    suspect_scope scope_ = suspect_scope::caller;
};

// An attempt that ended without an answer.
struct unanswered_request {
    running_request run_;
    std::string target_;
    time_point ended_at_{};
};

struct quarantine {
    std::map<fingerprint, suspect> suspects_; // at most suspects_max
    std::map<std::string, std::vector<running_request>, std::less<>> running_; // by target
    std::deque<unanswered_request> unanswered_; // at most unanswered_max, oldest first
    // Added to the short refusal of content, and different from host to host: when it ends, the
    // crash of the first run is known before other hosts let one through.
    duration content_delay_{};
};

// content_delay_ of the host with this name: up to content_delay_max.
duration content_delay_of(std::string_view host);
inline constexpr std::chrono::seconds content_delay_max{8};

// Call when an attempt is sent and when it has ended. `target` names address and incarnation.
// `finished` means that the target ran the request and gave a complete answer, which clears a
// suspect; the return value is whether one was cleared, so that the peers can be notified.
void on_request_sent(quarantine&, fingerprint, std::string_view target, time_point now,
                     suspect_scope scope = suspect_scope::caller);
bool on_request_ended(quarantine&, fingerprint, std::string_view target, bool finished);

// Clears a suspect. Returns whether it was suspected.
bool clear_suspect(quarantine&, fingerprint);

// Call before on_request_ended when the attempt got no answer and it is not known why.
void on_request_unanswered(quarantine&, fingerprint, std::string_view target, time_point now);

// The target crashed: every request in flight there becomes a suspect. Returns them; send the peers
// the suspicion_of each. Call this before reporting the end of those attempts, which then has no
// effect. `shared_name`: of the target, the same on all hosts.
std::vector<fingerprint> on_target_crashed(quarantine&, std::string_view target, time_point now,
                                           std::string_view shared_name);
inline std::vector<fingerprint> on_target_crashed(quarantine& quarantine, std::string_view target,
                                                  time_point now)
{
    return on_target_crashed(quarantine, target, now, target);
}

// Another server has taken the target's place, and the target had not announced that it would
// leave: the same as a crash, also for the requests that recently got no answer.
std::vector<fingerprint> on_target_replaced(quarantine&, std::string_view target, time_point now,
                                            std::string_view shared_name);

// Whether the request must be refused as not run: enough targets crashed with it in flight not long
// ago, or it is suspected and another attempt of it is in flight here. Content is refused while an
// attempt is in flight only if it has enough crashes.
bool is_quarantined(const quarantine&, fingerprint, time_point now);

// How long a quarantined request is refused at least.
duration refusal_left(const quarantine&, fingerprint, time_point now);

// Whether the request is suspected now.
bool is_suspect(const quarantine&, fingerprint, time_point now);

// Whether the target already runs another suspect sent by this host. Two suspects must not share a
// target, since a crash would confirm both.
bool runs_other_suspect(const quarantine&, fingerprint, std::string_view target, time_point now);

// The suspicion as a fact for the peers. Its version counts crashes, cleared ones twice.
peer::fact suspicion_of(const quarantine&, fingerprint);

// The fingerprint in hexadecimal: the subject of its suspicion, its object's name in the store, and
// its text in the log.
std::string name_of(fingerprint);

// The fingerprint that a suspicion is about; none if its subject is malformed.
std::optional<fingerprint> fingerprint_of(const peer::fact& suspicion);

// Whether the fact is a suspicion that merge() takes.
bool is_valid(const peer::fact& suspicion);

// Counts the crashes that a suspicion names, cleared ones twice; 0 for one that is not valid.
std::uint64_t version_of(const peer::fact& suspicion);

// Whether peers that serve no others need the suspicion: it has, or had, enough crashes to refuse
// the request.
bool concerns_all_hosts(const peer::fact& suspicion);

// The same as suspicion_of, with the time that the suspicion still lasts.
peer::fact shared_suspicion_of(const quarantine&, fingerprint, time_point now);

// The requests that are suspected now.
std::vector<fingerprint> suspects_at(const quarantine&, time_point now);

// Merges a suspicion received from a peer. Returns whether anything changed; the merged suspicion
// must then be forwarded. Merging is commutative and idempotent. A malformed fact is an error.
result<bool> merge(quarantine&, const peer::fact&, time_point now);

} // namespace savoryscale::admission
