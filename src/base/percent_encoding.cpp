#include "base/percent_encoding.hpp"

#include <glib.h>

#include <memory>

namespace savoryscale {

std::string percent_encoded(std::string_view text)
{
    if (text.empty()) {
        return {}; // GLib takes no null pointer
    }
    const auto* bytes = reinterpret_cast<const guint8*>(text.data());
    const std::unique_ptr<char, decltype(&g_free)> encoded{
        g_uri_escape_bytes(bytes, text.size(), nullptr), &g_free};
    return encoded.get();
}

std::optional<std::string> percent_decoded(std::string_view text)
{
    if (text.empty()) {
        return std::string{};
    }
    const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> decoded{
        g_uri_unescape_bytes(text.data(), static_cast<gssize>(text.size()), nullptr, nullptr),
        &g_bytes_unref};
    if (decoded == nullptr) {
        return std::nullopt;
    }
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(decoded.get(), &size));
    return bytes == nullptr ? std::string{} : std::string{bytes, size};
}

} // namespace savoryscale
