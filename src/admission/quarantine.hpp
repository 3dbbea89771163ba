#pragma once

// Stops a request that crashes the targets that run it. Requests in flight at a crash are suspects;
// a suspect runs alone until a finished run clears it, and is refused after a second death.

#include "base/clock.hpp"
#include "base/error.hpp"
#include "peer/fact.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savoryscale::admission {

// Equal for a request and its resends, through whichever host.
using fingerprint = std::uint64_t;

// What makes two requests the same. `body_digest_` is a hash of the first bytes of the body.
struct request_identity {
    std::string_view method_;
    std::string_view path_;
    std::string_view customer_;
    std::string_view idempotency_key_;
    std::uint64_t body_digest_ = 0;
};

fingerprint fingerprint_of(const request_identity&);

inline constexpr std::uint32_t deaths_until_refused = 2;
inline constexpr std::size_t suspects_max = 4096;
inline constexpr std::size_t deaths_kept_max = 16; // for each suspect; a cleared one makes room
inline constexpr std::chrono::seconds suspicion_lifetime{120};
inline constexpr std::chrono::seconds refusal_lifetime{600};

// One crash with the request in flight. The name is the target's and a count, so that a target that
// crashes twice is two deaths, and two hosts that saw the same crash name it alike.
struct death {
    bool cleared_ = false; // the request finished a run since
    time_point heard_at_{};
};

struct suspect {
    std::map<std::string, death, std::less<>> deaths_; // by name
    time_point expires_at_{};
};

// One attempt in flight.
struct running_request {
    fingerprint request_ = 0;
    time_point started_at_{};
};

struct quarantine {
    std::map<fingerprint, suspect> suspects_; // suspects_max at most
    std::map<std::string, std::vector<running_request>, std::less<>> running_; // by target
};

// Call when an attempt is sent and when it has ended. `target` names address and incarnation.
// `finished` says that the target gave a complete answer, which clears the request; the return
// value says whether it did, so that the peers can be told.
void started(quarantine&, fingerprint, std::string_view target, time_point now);
bool ended(quarantine&, fingerprint, std::string_view target, bool finished);

// The target crashed: every request in flight there becomes a suspect. Returns them; tell the peers
// of each by suspicion_of. Call it before `ended` of those attempts, which is then without effect.
std::vector<fingerprint> target_crashed(quarantine&, std::string_view target, time_point now);

// Whether the request must be refused as not run: two targets died of it, or one did and another
// attempt of it is under way here.
bool refused(const quarantine&, fingerprint, time_point now);

// Whether the target already runs another suspect from here. Two suspects are kept apart, since a
// crash would confirm both.
bool runs_other_suspect(const quarantine&, fingerprint, std::string_view target, time_point now);

// The suspicion as a fact for the peers. Its version counts deaths and cleared deaths.
peer::fact suspicion_of(const quarantine&, fingerprint);

// Takes in a peer's suspicion. Returns whether it told anything new; then the merged suspicion is
// to be told on. Merging is commutative and idempotent. A malformed fact is an error.
result<bool> merge(quarantine&, const peer::fact&, time_point now);

} // namespace savoryscale::admission
