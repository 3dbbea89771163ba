#include "admission/quarantine.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace savoryscale::admission {

namespace {

constexpr char cleared_mark = '!';
constexpr char content_mark = '*'; // before the names of crashes of content
constexpr char separator = ',';
constexpr std::size_t crash_name_max = 128; // bytes
constexpr int hexadecimal = 16;

std::uint32_t uncleared_crashes(const suspect& suspect)
{
    const auto is_uncleared = [](const auto& entry) { return !entry.second.cleared_; };
    return static_cast<std::uint32_t>(
        std::count_if(suspect.crashes_.begin(), suspect.crashes_.end(), is_uncleared));
}

std::uint32_t refused_at(const suspect& suspect)
{
    return suspect.scope_ == suspect_scope::content ? content_crashes_until_refused
                                                    : crashes_until_refused;
}

std::uint32_t confirmed_at(const suspect& suspect)
{
    return suspect.scope_ == suspect_scope::content ? content_crashes_until_confirmed
                                                    : crashes_until_confirmed;
}

// Whether the suspect, if it is one, must run alone.
bool must_run_alone(const suspect* suspect)
{
    const std::uint32_t crashes = suspect == nullptr ? 0 : uncleared_crashes(*suspect);
    return crashes > 0 &&
           (suspect->scope_ == suspect_scope::caller || crashes >= refused_at(*suspect));
}

const suspect* find_suspect(const quarantine& quarantine, fingerprint request, time_point now)
{
    const auto found = quarantine.suspects_.find(request);
    const bool unexpired = found != quarantine.suspects_.end() && now < found->second.expires_at_;
    return unexpired ? &found->second : nullptr;
}

bool is_running(const quarantine& quarantine, fingerprint request)
{
    const auto is_it = [request](const running_request& one) { return one.request_ == request; };
    return std::any_of(quarantine.running_.begin(), quarantine.running_.end(), [&](const auto& at) {
        return std::any_of(at.second.begin(), at.second.end(), is_it);
    });
}

// `longest`: what a peer's news of it allows.
void extend(const quarantine& quarantine, suspect& suspect, time_point now,
            duration longest = duration::max())
{
    const std::uint32_t crashes = uncleared_crashes(suspect);
    const duration delay =
        suspect.scope_ == suspect_scope::content ? quarantine.content_delay_ : duration::zero();
    const duration refusal = crashes >= confirmed_at(suspect) ? duration{refusal_lifetime}
                             : crashes >= refused_at(suspect)
                                 ? duration{short_refusal_lifetime} + delay
                                 : duration::zero();
    suspect.refused_until_ = std::max(suspect.refused_until_, now + std::min(refusal, longest));
    const duration lifetime = std::min<duration>(refusal + suspicion_lifetime, longest);
    suspect.expires_at_ = std::max(suspect.expires_at_, now + lifetime);
}

// Makes room for one suspect: evicts all expired ones, or else the one that expires next.
void make_room(quarantine& quarantine, time_point now)
{
    if (quarantine.suspects_.size() < suspects_max) {
        return;
    }
    std::erase_if(quarantine.suspects_,
                  [now](const auto& entry) { return entry.second.expires_at_ <= now; });
    if (quarantine.suspects_.size() < suspects_max) {
        return;
    }
    const auto expires_first = [](const auto& left, const auto& right) {
        return left.second.expires_at_ < right.second.expires_at_;
    };
    quarantine.suspects_.erase(
        std::min_element(quarantine.suspects_.begin(), quarantine.suspects_.end(), expires_first));
}

suspect& suspect_at(quarantine& quarantine, fingerprint request, time_point now)
{
    if (find_suspect(quarantine, request, now) == nullptr) {
        quarantine.suspects_.erase(request);
        make_room(quarantine, now);
    }
    return quarantine.suspects_[request];
}

// False when all recorded crashes are uncleared; the request is already refused then.
bool has_room(suspect& suspect)
{
    if (suspect.crashes_.size() < crashes_kept_max) {
        return true;
    }
    const auto cleared = std::find_if(suspect.crashes_.begin(), suspect.crashes_.end(),
                                      [](const auto& entry) { return entry.second.cleared_; });
    if (cleared == suspect.crashes_.end()) {
        return false;
    }
    suspect.crashes_.erase(cleared);
    return true;
}

// Adds a crash unless it is known. A run that began after the last known crash of this target means
// a new crash.
void add_crash(suspect& suspect, std::string_view target, const running_request& run,
               time_point now)
{
    suspect.scope_ = run.scope_;
    const std::string mark(run.scope_ == suspect_scope::content ? 1 : 0, content_mark);
    for (std::size_t count = 1; has_room(suspect); ++count) {
        const auto [place, added] = suspect.crashes_.try_emplace(
            fmt::format("{}{}#{}", mark, target, count), crash{false, now});
        if (added || run.started_at_ <= place->second.received_at_) {
            return;
        }
    }
}

struct named_crash {
    std::string_view name_;
    bool cleared_ = false;
};

// Hosts pass names on in request lines, in lists that other characters would break.
bool is_crash_name(std::string_view name)
{
    name.remove_prefix(name.starts_with(content_mark) ? 1 : 0);
    return !name.empty() && name.size() <= crash_name_max &&
           std::all_of(name.begin(), name.end(), [](unsigned char each) {
               return std::isalnum(each) != 0 ||
                      std::string_view{"#-./:[]_"}.find(static_cast<char>(each)) !=
                          std::string_view::npos;
           });
}

std::optional<std::vector<named_crash>> parse_crashes(std::string_view text)
{
    std::vector<named_crash> crashes;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        named_crash one{text.substr(0, end)};
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!one.name_.empty() && one.name_.back() == cleared_mark) {
            one.cleared_ = true;
            one.name_.remove_suffix(1);
        }
        if (!is_crash_name(one.name_) || crashes.size() == crashes_kept_max) {
            return std::nullopt;
        }
        crashes.push_back(one);
    }
    return crashes;
}

std::optional<fingerprint> parse_fingerprint(std::string_view text)
{
    fingerprint request = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, request, hexadecimal);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return request;
}

bool merge_crash(suspect& suspect, const named_crash& received, time_point now)
{
    const auto known = suspect.crashes_.find(received.name_);
    if (known == suspect.crashes_.end()) {
        if (!has_room(suspect)) {
            return false;
        }
        suspect.crashes_.emplace(received.name_, crash{received.cleared_, now});
        if (received.name_.front() == content_mark) {
            suspect.scope_ = suspect_scope::content;
        }
        return true;
    }
    const bool changed = received.cleared_ && !known->second.cleared_;
    known->second.cleared_ |= received.cleared_;
    return changed;
}

} // namespace

fingerprint fingerprint_of(const request_identity& request)
{
    XXH64_hash_t hash = request.body_digest_;
    for (const std::string_view part :
         {request.method_, request.path_, request.customer_, request.idempotency_key_}) {
        hash = XXH64(part.data(), part.size(), hash + part.size());
    }
    return hash;
}

fingerprint content_fingerprint_of(const request_identity& request)
{
    constexpr XXH64_hash_t seed = 1; // apart from the fingerprints of callers
    const fingerprint content = fingerprint_of(
        {request.method_, request.path_, request.customer_, {}, request.body_digest_});
    return XXH64(&content, sizeof content, seed);
}

duration content_delay_of(std::string_view host)
{
    constexpr auto range = static_cast<std::uint64_t>(duration{content_delay_max}.count());
    return duration{static_cast<std::int64_t>(XXH64(host.data(), host.size(), 0) % range)};
}

void on_request_sent(quarantine& quarantine, fingerprint request, std::string_view target,
                     time_point now, suspect_scope scope)
{
    auto running = quarantine.running_.find(target);
    if (running == quarantine.running_.end()) {
        running = quarantine.running_.emplace(target, std::vector<running_request>{}).first;
    }
    running->second.push_back({request, now, scope});
}

bool on_request_ended(quarantine& quarantine, fingerprint request, std::string_view target,
                      bool finished)
{
    const auto running = quarantine.running_.find(target);
    if (running != quarantine.running_.end()) {
        auto& requests = running->second;
        const auto is_it = [request](const auto& one) { return one.request_ == request; };
        const auto place = std::find_if(requests.begin(), requests.end(), is_it);
        if (place != requests.end()) {
            requests.erase(place);
        }
        if (requests.empty()) {
            quarantine.running_.erase(running);
        }
    }
    return finished && clear_suspect(quarantine, request);
}

bool clear_suspect(quarantine& quarantine, fingerprint request)
{
    std::erase_if(quarantine.unanswered_,
                  [request](const auto& one) { return one.run_.request_ == request; });
    const auto found = quarantine.suspects_.find(request);
    if (found == quarantine.suspects_.end() || uncleared_crashes(found->second) == 0) {
        return false;
    }
    for (auto& [name, crash] : found->second.crashes_) {
        crash.cleared_ = true;
    }
    return true;
}

void on_request_unanswered(quarantine& quarantine, fingerprint request, std::string_view target,
                           time_point now)
{
    auto& unanswered = quarantine.unanswered_;
    while (!unanswered.empty() && (unanswered.size() >= unanswered_max ||
                                   now - unanswered.front().ended_at_ >= unanswered_lifetime)) {
        unanswered.pop_front();
    }
    const auto running = quarantine.running_.find(target);
    if (running == quarantine.running_.end()) {
        return;
    }
    for (const running_request& one : running->second) {
        if (one.request_ == request) {
            unanswered.push_back({one, std::string{target}, now});
            return;
        }
    }
}

std::vector<fingerprint> on_target_crashed(quarantine& quarantine, std::string_view target,
                                           time_point now, std::string_view shared_name)
{
    std::vector<fingerprint> raised;
    const auto running = quarantine.running_.find(target);
    if (running == quarantine.running_.end()) {
        return raised;
    }
    for (const auto& one : running->second) {
        suspect& suspect = suspect_at(quarantine, one.request_, now);
        add_crash(suspect, shared_name, one, now);
        extend(quarantine, suspect, now);
        if (std::find(raised.begin(), raised.end(), one.request_) == raised.end()) {
            raised.push_back(one.request_);
        }
    }
    quarantine.running_.erase(running);
    return raised;
}

std::vector<fingerprint> on_target_replaced(quarantine& quarantine, std::string_view target,
                                            time_point now, std::string_view shared_name)
{
    std::erase_if(quarantine.unanswered_, [&](const unanswered_request& one) {
        const bool lost_here = one.target_ == target;
        if (lost_here && now - one.ended_at_ < unanswered_lifetime) {
            quarantine.running_[std::string{target}].push_back(one.run_);
        }
        return lost_here;
    });
    return on_target_crashed(quarantine, target, now, shared_name);
}

bool is_suspect(const quarantine& quarantine, fingerprint request, time_point now)
{
    const suspect* known = find_suspect(quarantine, request, now);
    return known != nullptr && uncleared_crashes(*known) > 0;
}

bool is_quarantined(const quarantine& quarantine, fingerprint request, time_point now)
{
    const suspect* known = find_suspect(quarantine, request, now);
    if (known == nullptr) {
        return false;
    }
    const std::uint32_t crashes = uncleared_crashes(*known);
    return (crashes >= refused_at(*known) && now < known->refused_until_) ||
           (must_run_alone(known) && is_running(quarantine, request));
}

duration refusal_left(const quarantine& quarantine, fingerprint request, time_point now)
{
    const suspect* known = find_suspect(quarantine, request, now);
    return known == nullptr ? duration::zero()
                            : std::max(duration::zero(), known->refused_until_ - now);
}

bool runs_other_suspect(const quarantine& quarantine, fingerprint request, std::string_view target,
                        time_point now)
{
    const auto running = quarantine.running_.find(target);
    if (running == quarantine.running_.end()) {
        return false;
    }
    const auto is_other = [&](const running_request& one) {
        return one.request_ != request &&
               must_run_alone(find_suspect(quarantine, one.request_, now));
    };
    return std::any_of(running->second.begin(), running->second.end(), is_other);
}

peer::fact suspicion_of(const quarantine& quarantine, fingerprint request)
{
    peer::fact message;
    message.kind_ = peer::fact_kind::suspicion;
    message.subject_ = name_of(request);
    message.lifetime_s_ = static_cast<std::uint32_t>(refusal_lifetime.count());
    const auto known = quarantine.suspects_.find(request);
    if (known == quarantine.suspects_.end()) {
        return message;
    }
    for (const auto& [name, crash] : known->second.crashes_) {
        message.version_ += crash.cleared_ ? 2 : 1;
        message.payload_ += message.payload_.empty() ? "" : std::string{separator};
        message.payload_ += name;
        message.payload_ += crash.cleared_ ? std::string{cleared_mark} : "";
    }
    return message;
}

result<bool> merge(quarantine& quarantine, const peer::fact& received, time_point now)
{
    const auto request = parse_fingerprint(received.subject_);
    const auto crashes = parse_crashes(received.payload_);
    if (!request || !crashes) {
        return tl::unexpected{error{error_kind::invalid, received.subject_, "malformed suspicion",
                                    "run the same release on every host"}};
    }
    if (crashes->empty()) {
        return false;
    }
    suspect& suspect = suspect_at(quarantine, *request, now);
    bool changed = false;
    for (const auto& one : *crashes) {
        changed |= merge_crash(suspect, one, now);
    }
    if (changed) {
        extend(quarantine, suspect, now, std::chrono::seconds{received.lifetime_s_});
    }
    return changed;
}

std::string name_of(fingerprint request)
{
    return fmt::format("{:016x}", request);
}

std::optional<fingerprint> fingerprint_of(const peer::fact& suspicion)
{
    return parse_fingerprint(suspicion.subject_);
}

bool is_valid(const peer::fact& suspicion)
{
    return suspicion.kind_ == peer::fact_kind::suspicion && parse_fingerprint(suspicion.subject_) &&
           parse_crashes(suspicion.payload_);
}

std::uint64_t version_of(const peer::fact& suspicion)
{
    std::uint64_t version = 0;
    for (const named_crash& one :
         parse_crashes(suspicion.payload_).value_or(std::vector<named_crash>{})) {
        version += one.cleared_ ? 2 : 1;
    }
    return version;
}

bool concerns_all_hosts(const peer::fact& suspicion)
{
    const auto crashes = parse_crashes(suspicion.payload_);
    const bool is_content = !suspicion.payload_.empty() && suspicion.payload_[0] == content_mark;
    return crashes &&
           crashes->size() >= (is_content ? content_crashes_until_refused : crashes_until_refused);
}

peer::fact shared_suspicion_of(const quarantine& quarantine, fingerprint request, time_point now)
{
    peer::fact suspicion = suspicion_of(quarantine, request);
    const suspect* known = find_suspect(quarantine, request, now);
    const auto left = known == nullptr
                          ? std::chrono::seconds::zero()
                          : std::chrono::ceil<std::chrono::seconds>(known->expires_at_ - now);
    suspicion.lifetime_s_ = static_cast<std::uint32_t>(left.count());
    return suspicion;
}

std::vector<fingerprint> suspects_at(const quarantine& quarantine, time_point now)
{
    std::vector<fingerprint> all;
    for (const auto& [request, suspect] : quarantine.suspects_) {
        if (now < suspect.expires_at_ && uncleared_crashes(suspect) > 0) {
            all.push_back(request);
        }
    }
    return all;
}

} // namespace savoryscale::admission
