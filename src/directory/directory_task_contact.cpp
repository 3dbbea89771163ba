// The part of the directory task that tells an outage of the store from a cut of this host alone.

#include "directory/directory_task.hpp"
#include "http/event_loop.hpp"
#include "http/log_fields.hpp"
#include "telemetry/log.hpp"

#include <utility>

namespace savoryscale::directory {

// A peer of an earlier release tells no span. It keeps missing entries itself, so that they are not
// missing here.
void directory_task::on_peer_contact(const feed_page& page)
{
    const time_point now = loop_.now();
    const time_point confirmed_at = now - page.age_;
    if (page.contact_) {
        on_store_contact({now - page.contact_->begun_, now - page.contact_->confirmed_});
    }
    else if (!contact_.current_ || confirmed_at > contact_.current_->confirmed_at_) {
        on_store_contact(
            {contact_.current_ ? contact_.current_->confirmed_at_ : confirmed_at, confirmed_at});
    }
}

void directory_task::on_store_contact(const contact_span& span)
{
    const auto before = contact_.current_;
    const contact_change change = on_contact(contact_, span);
    feed_.contact_ = contact_.current_;
    if (change == contact_change::regained) {
        telemetry::state_change(
            "store_gap_began",
            {{"gap_ms", http::log_ms(contact_.current_->begun_ - before->confirmed_at_)}});
        on_store_recovered(registry_, loop_.now());
    }
    else if (change == contact_change::filled) {
        telemetry::state_change("store_gap_filled",
                                {{"missing", has_missing(registry_) ? "yes" : "no"}});
        on_outage_disproved(registry_);
        publish_target_changes();
    }
}

// Whether entries are kept for an outage that another host may not have seen. Only hosts that serve
// others ask for it: the readers learn from them.
bool directory_task::is_gap_in_doubt() const
{
    return contact_.before_ && is_serving_peers(source_, loop_.now()) && has_missing(registry_);
}

// Starts or stops requests to peers. When a doubt begins, an earlier request may be held until
// there is news, or have failed and wait for its backoff: a new one takes its place.
void directory_task::check_peer_requests(time_point now)
{
    const bool in_doubt = is_gap_in_doubt();
    if (!std::exchange(asks_in_doubt_, in_doubt) && in_doubt) {
        client_.set_active(false);
    }
    client_.set_active(is_peer_needed(source_, now) || in_doubt);
}

// In doubt, the position of a reader without data: a peer answers it at once.
feed_position directory_task::requested_position() const
{
    return {is_gap_in_doubt() ? 0 : position_.epoch_, position_.sequence_, version_};
}

} // namespace savoryscale::directory
