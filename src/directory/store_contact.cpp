#include "directory/store_contact.hpp"

#include <algorithm>
#include <utility>

namespace savoryscale::directory {

namespace {

bool is_gap(time_point from, time_point to)
{
    return to - from > contact_gap_max;
}

} // namespace

contact_change on_contact(store_contact& contact, const contact_span& heard)
{
    if (!contact.current_) {
        contact.current_ = heard;
        return contact_change::none;
    }
    contact_span& current = *contact.current_;
    if (is_gap(current.confirmed_at_, heard.begun_)) {
        contact.before_ = std::exchange(current, heard);
        return contact_change::regained;
    }
    if (is_gap(heard.confirmed_at_, current.begun_)) {
        return contact_change::none; // of before the gap
    }
    current.begun_ = std::min(current.begun_, heard.begun_);
    current.confirmed_at_ = std::max(current.confirmed_at_, heard.confirmed_at_);
    if (contact.before_ && !is_gap(contact.before_->confirmed_at_, current.begun_)) {
        current.begun_ = std::min(current.begun_, contact.before_->begun_);
        contact.before_.reset();
        return contact_change::filled;
    }
    return contact_change::none;
}

void on_data_lost(store_contact& contact)
{
    contact.before_.reset();
}

} // namespace savoryscale::directory
