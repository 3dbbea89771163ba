#include "plans/applier.hpp"

#include "base/backoff.hpp"
#include "store/object_api.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savoryscale::plans {

namespace {

using store::call_status;

applier_step read_after(duration wait)
{
    applier_step step;
    step.action_ = applier_action::read;
    step.wait_ = wait;
    return step;
}

applier_step done(apply_outcome end, std::uint64_t version, std::size_t entries,
                  std::vector<error> errors)
{
    applier_step step;
    step.report_ = {end, version, entries, std::move(errors)};
    return step;
}

applier_step unknown(std::string what, std::string remedy)
{
    return done(apply_outcome::unknown, 0, 0,
                {{error_kind::unknown, std::string{configuration_key}, std::move(what),
                  std::move(remedy)}});
}

// Jittered exponential backoff after `times` failed attempts.
duration backoff(const applier& state, std::uint32_t times, random_source& random)
{
    return savoryscale::backoff(state.options_.backoff_min_, state.options_.backoff_max_, times,
                                random);
}

constexpr std::string_view run_again =
    "run the same apply again when the object API answers: it does nothing if the change landed";

applier_step after_failed_call(applier& state, random_source& random)
{
    ++state.failed_calls_;
    if (state.failed_calls_ < state.options_.max_failed_calls_) {
        return read_after(backoff(state, state.failed_calls_, random));
    }
    const bool may_have_landed = state.phase_ == applier_phase::resolving;
    return unknown(may_have_landed ? "the answer to the write was lost and the object API does not "
                                     "answer reads; the change may have been applied"
                                   : "the object API does not answer; nothing was written",
                   std::string{run_again});
}

// Applies the file to the lists just read and returns the step that follows.
applier_step evaluate(applier& state, const configuration& stored, std::uint64_t object_version,
                      std::int64_t now_ms, random_source& random)
{
    // The reply may come from a replica that is behind the version this file was pulled at.
    const bool stale_copy = stored.lists_.version_ < state.file_.base_version_;
    if (stale_copy && ++state.failed_calls_ < state.options_.max_failed_calls_) {
        return read_after(backoff(state, state.failed_calls_, random));
    }
    change_result result = apply_change(stored, state.file_, now_ms);
    const std::uint64_t version = result.next_.lists_.version_;
    switch (result.change_outcome_) {
    case change_outcome::already_in_force:
        return done(apply_outcome::already_in_force, version, 0, {});
    case change_outcome::refused_stale:
        return done(apply_outcome::refused_stale, version, 0, std::move(result.errors_));
    case change_outcome::refused_conflict:
        return done(apply_outcome::refused_conflict, version, 0, std::move(result.errors_));
    case change_outcome::refused_invalid:
        return done(apply_outcome::refused_invalid, version, 0, std::move(result.errors_));
    case change_outcome::applied:
        break;
    }
    if (state.options_.dry_run_) {
        return done(apply_outcome::applied, version, result.entries_, {});
    }
    state.phase_ = applier_phase::writing;
    state.object_version_ = object_version;
    state.written_version_ = version;
    state.written_entries_ = result.entries_;
    applier_step step;
    step.action_ = object_version == 0 ? applier_action::create : applier_action::update;
    step.text_ = print(result.next_);
    step.expected_version_ = object_version;
    return step;
}

// Determines from a read whether a write without an answer took effect. The write was conditional
// on object_version_, so once the object has a newer version, the write has taken effect or never
// will.
applier_step resolve_lost_write(applier& state, const configuration& stored,
                                std::uint64_t object_version, std::int64_t now_ms,
                                random_source& random)
{
    if (has_recent_change(stored, state.change_id_)) {
        return done(apply_outcome::applied, state.written_version_, state.written_entries_, {});
    }
    if (object_version <= state.object_version_) {
        if (++state.resolving_reads_ < state.options_.max_resolving_reads_) {
            return read_after(backoff(state, state.resolving_reads_, random));
        }
        return unknown("the answer to the write was lost, and the lists do not show the change yet",
                       std::string{run_again});
    }
    if (stored.lists_.version_ >= state.written_version_ + max_recent_changes) {
        return unknown("the answer to the write was lost, and too many later changes were made to "
                       "tell whether it was applied",
                       std::string{run_again});
    }
    state.phase_ = applier_phase::reading;
    return evaluate(state, stored, object_version, now_ms, random);
}

applier_step on_read(applier& state, const store::object_reply& reply, std::int64_t now_ms,
                     random_source& random)
{
    configuration stored;
    std::uint64_t object_version = 0;
    if (reply.status_ == call_status::ok && !reply.objects_.empty()) {
        auto parsed = parse_configuration(reply.objects_.front().value_, configuration_key);
        if (!parsed) {
            return unknown("cannot parse the lists in the object API: " +
                               to_string(parsed.error().front()),
                           "restore the object from a backup; nothing was written");
        }
        stored = std::move(*parsed);
        object_version = reply.objects_.front().version_;
    }
    else if (reply.status_ != call_status::not_found) {
        return after_failed_call(state, random);
    }
    if (state.phase_ == applier_phase::resolving) {
        return resolve_lost_write(state, stored, object_version, now_ms, random);
    }
    return evaluate(state, stored, object_version, now_ms, random);
}

applier_step on_write(applier& state, const store::object_reply& reply, random_source& random)
{
    state.phase_ = applier_phase::reading;
    switch (reply.status_) {
    case call_status::ok:
        return done(apply_outcome::applied, state.written_version_, state.written_entries_, {});
    case call_status::conflict:
    case call_status::not_found:
        if (++state.write_conflicts_ < state.options_.max_write_conflicts_) {
            return read_after(backoff(state, 0, random));
        }
        return unknown("every attempt conflicted with a concurrent change; nothing was written",
                       "run the same apply again");
    case call_status::rejected:
        return done(apply_outcome::refused_invalid, state.written_version_ - 1, 0,
                    {{error_kind::invalid, std::string{configuration_key},
                      "the object API rejected the lists as malformed or too large",
                      "remove customers or plans that are no longer used"}});
    case call_status::unknown:
        state.phase_ = applier_phase::resolving;
        return read_after(backoff(state, 0, random));
    case call_status::not_sent:
    case call_status::unavailable:
        break;
    }
    return after_failed_call(state, random);
}

} // namespace

applier make_applier(edited_file file, const applier_options& options)
{
    applier state;
    state.change_id_ = change_id(file);
    state.file_ = std::move(file);
    state.options_ = options;
    return state;
}

applier_step first_step(const applier& /*state*/)
{
    return read_after({});
}

applier_step on_reply(applier& state, const store::object_reply& reply, std::int64_t now_ms,
                      random_source& random)
{
    if (state.phase_ == applier_phase::writing) {
        return on_write(state, reply, random);
    }
    return on_read(state, reply, now_ms, random);
}

} // namespace savoryscale::plans
