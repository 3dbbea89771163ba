#include "http/page_server.hpp"

#include "http/event_loop.hpp"
#include "http/page_connection.hpp"

#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace savoryscale::http {

namespace {

// Answers that peers have not read. All readers of a feed get one at the same moment, and take it
// within a round trip.
constexpr std::size_t unread_bytes_max = std::size_t{4} << 20U;
constexpr duration relief_interval = std::chrono::milliseconds{100};

} // namespace

page_server::page_server(event_loop& loop, std::size_t connections_max, page_handler answer)
    : loop_{loop}, connections_max_{connections_max}, answer_{std::move(answer)}
{
}

page_server::~page_server()
{
    loop_.cancel(relief_timer_);
    connections_.clear();
}

result<std::uint16_t> page_server::open(const settings::endpoint& address)
{
    return loop_.listen(address, std::nullopt, [this](socket& stream) -> socket_handler* {
        if (connections_.size() >= connections_max_) {
            make_room();
        }
        auto owned = std::make_unique<page_connection>(*this, stream);
        page_connection* accepted = owned.get();
        connections_.emplace(accepted, std::move(owned));
        return accepted;
    });
}

// Idle connections go first, then those of which a request waits or an answer is not read.
void page_server::make_room()
{
    const auto chosen = std::min_element(
        connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
            const auto order = [](const page_connection& each) {
                return std::pair{!each.is_idle(), each.progress_at()};
            };
            return order(*left.first) < order(*right.first);
        });
    if (chosen != connections_.end()) {
        telemetry::decided("page_connections_short", "",
                           {{"open", std::to_string(connections_.size())}});
        chosen->first->close_abruptly();
    }
}

void page_server::change_unread(std::size_t before, std::size_t after)
{
    unread_bytes_ = unread_bytes_ - before + after;
    if (unread_bytes_ > unread_bytes_max && relief_timer_ == 0) {
        relief_timer_ = loop_.after(relief_interval, [this] { relieve_memory(); });
    }
}

// Closes the connections that have read nothing for the longest.
void page_server::relieve_memory()
{
    relief_timer_ = 0;
    while (unread_bytes_ > unread_bytes_max) {
        page_connection* oldest = nullptr;
        for (const auto& [connection, owned] : connections_) {
            if (connection->unread_bytes() > 0 &&
                (oldest == nullptr || connection->progress_at() < oldest->progress_at())) {
                oldest = connection;
            }
        }
        if (oldest == nullptr) {
            return;
        }
        oldest->close_abruptly();
    }
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
