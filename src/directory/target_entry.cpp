#include "directory/target_entry.hpp"

#include "directory/stored_object.hpp"

#include <algorithm>

namespace savoryscale::directory {

namespace {

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= name_max_bytes;
}

bool is_control(unsigned char letter)
{
    return letter < ' ' || letter == '\x7f';
}

} // namespace

bool is_target_id(std::string_view text)
{
    return is_name(text) && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), is_control);
}

bool is_valid(const target_entry& entry)
{
    return is_target_id(entry.id_) && is_name(entry.service_) && is_name(entry.data_centre_) &&
           is_name(entry.address_.ip_) && entry.address_.port_ > 0 && entry.slots_ > 0;
}

} // namespace savoryscale::directory
