#include "http/page_server.hpp"

#include "http/event_loop.hpp"
#include "http/page_connection.hpp"

#include <utility>

namespace savoryscale::http {

page_server::page_server(event_loop& loop, std::size_t connections_max, page_handler answer)
    : loop_{loop}, connections_max_{connections_max}, answer_{std::move(answer)}
{
}

page_server::~page_server() = default;

result<std::uint16_t> page_server::open(const settings::endpoint& address)
{
    return loop_.listen(address, std::nullopt, [this](socket& stream) -> socket_handler* {
        if (connections_.size() >= connections_max_) {
            return nullptr;
        }
        auto owned = std::make_unique<page_connection>(*this, stream);
        page_connection* accepted = owned.get();
        connections_.emplace(accepted, std::move(owned));
        return accepted;
    });
}

void page_server::remove_connection(page_connection& closed)
{
    const auto found = connections_.find(&closed);
    if (found != connections_.end()) {
        loop_.destroy_later(std::move(found->second));
        connections_.erase(found);
    }
}

} // namespace savoryscale::http
