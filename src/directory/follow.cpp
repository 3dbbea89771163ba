#include "directory/follow.hpp"

#include "base/backoff.hpp"
#include "base/percent_encoding.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryscale::directory {

namespace {

// Wait of the watch that brings a stale list up to date. It only asks for what is known already; a
// store that no longer has the history reports that when the wait is over.
constexpr duration confirm_wait = std::chrono::milliseconds{1};

// When the store loses its history, it may leave a watch waiting that never receives a change, and
// reports that only when the wait is over. Waits are therefore short for a while after a watch has
// failed.
constexpr duration short_watch_wait = std::chrono::milliseconds{700};
constexpr duration short_waits_period = std::chrono::seconds{15};

duration watch_wait(const follow_state& state, time_point now)
{
    if (!state.confirmed_) {
        return confirm_wait;
    }
    return now < state.short_waits_until_ ? std::min(short_watch_wait, state.options_.wait_)
                                          : state.options_.wait_;
}

bool can_list_be_stale(const follow_state& state)
{
    return state.options_.allow_stale_first_list_ && !state.needs_consistent_list_;
}

// Objects of a list and their later changes, as one list.
std::vector<stored_object> merged(std::vector<stored_object> listed,
                                  std::vector<stored_object> changes)
{
    for (stored_object& change : changes) {
        std::erase_if(listed,
                      [&](const stored_object& each) { return each.name_ == change.name_; });
        if (!change.removed_) {
            listed.push_back(std::move(change));
        }
    }
    return listed;
}

// A store may refuse other names in a request, or decode them in its own way.
bool is_plain(const std::string& name)
{
    return !name.empty() && name.size() <= name_max_bytes && percent_encoded(name) == name;
}

// The least plain name above one that is not plain, in the order of bytes; none if there is none.
std::optional<std::string> plain_name_above(const std::string& name)
{
    constexpr char last_plain = '~';
    const auto is_plain_byte = [](char byte) { return is_plain(std::string(1, byte)); };
    const auto first_odd = std::find_if_not(name.begin(), name.end(), is_plain_byte);
    for (auto at = static_cast<std::size_t>(first_odd - name.begin()) + 1; at-- > 0;) {
        for (int byte = static_cast<unsigned char>(name[at]) + 1; byte <= last_plain; ++byte) {
            if (is_plain_byte(static_cast<char>(byte))) {
                return name.substr(0, at) + static_cast<char>(byte);
            }
        }
    }
    return std::nullopt;
}

// Whether the byte is one of a UTF-8 character after its first.
bool is_continuation(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

// A name to continue a list after, in place of one that a call cannot carry.
std::string short_name_from(std::string name)
{
    if (name.empty()) {
        return std::string(1, '\0'); // no other name is in between
    }
    if (name.size() > name_max_bytes) {
        constexpr std::size_t character_max = 4; // bytes
        std::size_t end = name_max_bytes;
        while (end < std::min(name.size(), name_max_bytes + character_max - 1) &&
               is_continuation(name[end])) {
            ++end;
        }
        // The last code point: what it skips is longer than name_max_bytes too.
        name.replace(end, std::string::npos, "\xf4\x8f\xbf\xbf");
    }
    return name;
}

// The name after which the next page begins: the last plain one, or the last of all if none is
// plain. Removes the objects after it, since they come again. None: the page names no object.
std::optional<std::string> take_continuation(list_page& page)
{
    auto& objects = page.objects_;
    const auto plain = std::find_if(objects.rbegin(), objects.rend(),
                                    [](const auto& object) { return is_plain(object.name_); });
    if (plain != objects.rend()) {
        objects.erase(plain.base(), objects.end());
        return objects.back().name_;
    }
    if (page.unreadable_last_name_) {
        return short_name_from(*page.unreadable_last_name_);
    }
    return objects.empty() ? std::nullopt : std::optional{short_name_from(objects.back().name_)};
}

// Whether a list that would continue after the name returns to a part that was read already.
bool is_return(const follow_state& state, const std::string& name)
{
    const auto& listed = state.listed_objects_;
    return state.continued_after_.count(name) > 0 ||
           std::any_of(listed.begin(), listed.end(),
                       [&](const stored_object& each) { return each.name_ == name; });
}

// As take_continuation. If the store did not read the name in the last call as it was sent, the
// list continues after plain names only; without one above it the page is the last.
std::optional<std::string> continue_list(follow_state& state, list_page& page,
                                         follow_update& update)
{
    auto next = take_continuation(page);
    if (next && !state.after_.empty() && !is_plain(state.after_) && is_return(state, *next)) {
        state.skips_odd_names_ = true;
        page.objects_.clear();
        next = state.after_;
    }
    if (next && state.skips_odd_names_ && !is_plain(*next)) {
        update.skipped_from_ = next;
        next = plain_name_above(*next);
        state.unlisted_name_ = next.value_or("");
        page.more_ = next.has_value();
    }
    return next;
}

void end_list(follow_state& state)
{
    state.after_.clear();
    state.continued_after_.clear();
    state.skips_odd_names_ = false;
    state.unlisted_name_.clear();
}

void discard_list(follow_state& state)
{
    end_list(state);
    state.listed_objects_.clear();
    state.has_stale_list_ = false;
}

// Resets the failure count. Returns how long calls had failed before, if they had.
std::optional<duration> record_success(follow_state& state, time_point now)
{
    state.failures_ = 0;
    const auto since = std::exchange(state.failing_since_, std::nullopt);
    return since ? std::optional<duration>{now - *since} : std::nullopt;
}

} // namespace

follow_call next_call(const follow_state& state, time_point now)
{
    if (state.listed_) {
        return {true, {}, state.revision_, watch_wait(state, now), false};
    }
    if (!state.unlisted_name_.empty()) {
        return {false, {}, 0, {}, false, state.unlisted_name_};
    }
    return {false, state.after_, 0, {}, can_list_be_stale(state)};
}

void resume_from(follow_state& state, const store_position& known,
                 std::optional<time_point> failing_since)
{
    state.listed_ = known.revision_ > 0;
    state.era_ = known.era_;
    state.resumed_ = true;
    state.confirmed_ = false;
    state.needs_consistent_list_ = false;
    state.revision_ = known.revision_;
    discard_list(state);
    state.failures_ = 0;
    state.failing_since_ = failing_since;
}

bool is_from_other_era(const follow_state& state, std::uint64_t era)
{
    // A store that names no era has only one.
    return era != 0 && (state.era_ != 0 ? era != state.era_ : state.resumed_);
}

follow_update on_list_page(follow_state& state, list_page page, time_point now)
{
    follow_update update;
    if (!state.after_.empty() && is_from_other_era(state, page.era_)) {
        discard_list(state); // its pages are from two histories
        state.due_ = now;
        return update;
    }
    if (state.after_.empty()) {
        state.listed_objects_.clear();
        state.oldest_revision_ = page.revision_;
        state.era_ = page.era_;
        state.resumed_ = false;
    }
    state.oldest_revision_ = std::min(state.oldest_revision_, page.revision_);
    const auto next = page.more_ ? continue_list(state, page, update) : std::nullopt;
    std::move(page.objects_.begin(), page.objects_.end(),
              std::back_inserter(state.listed_objects_));
    state.due_ = now;
    if (page.more_) {
        // A list that returns to a name is not moving on, and lacks what follows.
        update.stalled_ = !next || !state.continued_after_.insert(*next).second;
        state.after_ = update.stalled_ ? state.after_ : *next;
        return update;
    }
    // Pages may be of different moments, and stale ones in any order. The watch starts at the
    // oldest page's revision to receive every change that a page may lack.
    update.outage_duration_ = record_success(state, now);
    state.listed_ = true;
    state.revision_ = state.oldest_revision_;
    end_list(state);
    state.confirmed_ = !can_list_be_stale(state);
    if (!state.confirmed_) {
        state.has_stale_list_ = true;
        return update;
    }
    state.due_ = now + state.options_.pause_;
    update.complete_ = true;
    update.objects_ = std::exchange(state.listed_objects_, {});
    return update;
}

follow_update on_changes(follow_state& state, change_page page, time_point now)
{
    follow_update update;
    update.outage_duration_ = record_success(state, now);
    state.revision_ = std::max(state.revision_, page.revision_);
    state.confirmed_ = true;
    state.due_ = now + (page.objects_.empty() ? duration::zero() : state.options_.pause_);
    update.objects_ = std::move(page.objects_);
    if (std::exchange(state.has_stale_list_, false)) {
        update.complete_ = true;
        update.objects_ =
            merged(std::exchange(state.listed_objects_, {}), std::move(update.objects_));
    }
    return update;
}

void on_object(follow_state& state, std::optional<stored_object> object, std::uint64_t era,
               time_point now)
{
    state.due_ = now;
    if (is_from_other_era(state, era)) {
        discard_list(state);
        return;
    }
    state.unlisted_name_.clear();
    if (object) {
        state.listed_objects_.push_back(std::move(*object));
    }
}

bool is_overtaken(const known_revision& answered, const known_revision& told)
{
    return answered.revision_ < told.revision_ && answered.since_ <= told.since_;
}

void on_history_gone(follow_state& state, time_point now)
{
    state.listed_ = false;
    state.needs_consistent_list_ = true;
    state.short_waits_until_ = now + short_waits_period;
    discard_list(state);
    state.due_ = now;
}

void on_call_failed(follow_state& state, time_point now, random_source& random)
{
    if (!state.failing_since_) {
        state.failing_since_ = now;
    }
    state.short_waits_until_ = now + short_waits_period;
    const duration shortest = state.failures_ == 0 ? state.options_.backoff_min_
                                                   : std::max(state.options_.backoff_min_,
                                                              state.options_.later_backoff_min_);
    state.due_ = now + backoff(shortest, state.options_.backoff_max_, state.failures_++, random);
    // The store may have refused the name.
    const bool skips_odd_names = !state.after_.empty() && !is_plain(state.after_);
    discard_list(state); // pages from before and after a failure are not combined
    state.skips_odd_names_ = skips_odd_names;
    // If the store has lost its history, a watch from an old revision may wait without ever
    // receiving a change; a new list is always complete.
    state.listed_ = false;
    state.needs_consistent_list_ = true;
}

} // namespace savoryscale::directory
