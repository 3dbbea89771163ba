#include "http/head.hpp"

#include <algorithm>

namespace savoryscale::http {

namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

const header_field* find(const message_head& head, std::string_view name)
{
    const auto found =
        std::find_if(head.fields_.begin(), head.fields_.end(), [&](const header_field& field) {
            return equal_ignoring_case(field.name_, name);
        });
    return found == head.fields_.end() ? nullptr : &*found;
}

} // namespace

std::string_view find_field(const message_head& head, std::string_view name)
{
    const header_field* field = find(head, name);
    return field == nullptr ? std::string_view{} : std::string_view{field->value_};
}

bool has_field(const message_head& head, std::string_view name)
{
    return find(head, name) != nullptr;
}

std::size_t held_bytes(const request_head& head)
{
    const auto text_bytes = [](const std::string& text) {
        return text.capacity() > std::string{}.capacity() ? text.capacity() : 0;
    };
    std::size_t held = head.fields_.capacity() * sizeof(header_field);
    for (const header_field& field : head.fields_) {
        held += text_bytes(field.name_) + text_bytes(field.value_);
    }
    return held + text_bytes(head.method_) + text_bytes(head.target_);
}

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

} // namespace savoryscale::http
