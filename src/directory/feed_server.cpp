#include "directory/feed_server.hpp"

#include "base/text.hpp"
#include "directory/feed.hpp"
#include "http/event_loop.hpp"
#include "peer/feed_wire.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <utility>

namespace savoryscale::directory {

namespace {

// Readers are other entry hosts with one connection each; connections beyond this are closed at
// once.
constexpr std::size_t connections_max = 1000;

constexpr std::string_view path_prefix = "/directory?";
constexpr std::string_view hosts_path_prefix = "/hosts?";
constexpr char host_separator = '&';

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

} // namespace

std::string feed_path(const feed_position& reader, const std::optional<announced_host>& host)
{
    std::string path =
        fmt::format("{}{}.{}.{}", path_prefix, reader.epoch_, reader.sequence_, reader.version_);
    if (host) {
        path += host_separator + write_hosts(std::span{&*host, 1});
    }
    return path;
}

std::optional<announced_host> read_announced_host(std::string_view path)
{
    take_until(path, host_separator);
    const auto hosts = read_hosts(path);
    return hosts && hosts->size() == 1 ? std::optional{hosts->front()} : std::nullopt;
}

std::string hosts_path(std::string_view data_centre)
{
    return fmt::format("{}{}", hosts_path_prefix, data_centre);
}

std::optional<feed_position> read_feed_path(std::string_view path)
{
    if (!path.starts_with(path_prefix)) {
        return std::nullopt;
    }
    path = take_until(path, host_separator);
    std::array<std::uint64_t, 3> numbers{};
    const char* at = path.data() + path_prefix.size();
    const char* end = path.data() + path.size();
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto parsed = std::from_chars(at, end, numbers[i]);
        const bool last = i + 1 == numbers.size();
        if (parsed.ec != std::errc{} || (last ? parsed.ptr != end : parsed.ptr == end) ||
            (!last && *parsed.ptr != '.')) {
            return std::nullopt;
        }
        at = parsed.ptr + (last ? 0 : 1);
    }
    return feed_position{numbers[0], numbers[1], numbers[2]};
}

feed_server::feed_server(http::event_loop& loop, const feed& known, duration hold,
                         feed_server_events events)
    : loop_{loop},
      feed_{known},
      hold_{hold},
      events_{std::move(events)},
      server_{loop, connections_max, [this](std::string_view path, const http::page_reply& reply) {
                  on_request(path, reply);
              }}
{
}

feed_server::~feed_server()
{
    loop_.cancel(timer_);
}

result<std::uint16_t> feed_server::open(const settings::endpoint& address)
{
    return server_.open(address);
}

void feed_server::on_request(std::string_view path, const http::page_reply& reply)
{
    if (events_.on_hosts_request_ && path.starts_with(hosts_path_prefix)) {
        const std::string_view data_centre = path.substr(hosts_path_prefix.size());
        reply({status_ok, "text/plain", events_.on_hosts_request_(data_centre)});
        return;
    }
    if (events_.on_peer_request_ && !path.starts_with(path_prefix)) {
        reply(events_.on_peer_request_(path));
        return;
    }
    const auto position = read_feed_path(path);
    if (!position) {
        reply({status_bad_request, "text/plain", "ask for /directory?EPOCH.SEQUENCE.VERSION\n"});
        return;
    }
    events_.on_request_(read_announced_host(path));
    if (events_.as_of_() && has_updates(feed_, *position)) {
        reply(page_at(*position));
        return;
    }
    readers_.push_back({*position, reply, loop_.now() + hold_});
    if (timer_ == 0) {
        timer_ = loop_.at(readers_.front().due_, [this] { on_hold_expired(); });
    }
}

void feed_server::answer_readers()
{
    if (!events_.as_of_()) {
        return;
    }
    // Nearly all readers are at the same position and get the same bytes.
    feed_position position;
    http::page current_page;
    for (const reader& each : std::exchange(readers_, {})) {
        if (current_page.body_.empty() || each.position_ != position) {
            position = each.position_;
            current_page = page_at(position);
        }
        each.reply_(current_page);
    }
}

http::page feed_server::page_at(const feed_position& position) const
{
    const auto as_of = events_.as_of_();
    if (!as_of) {
        return {status_unavailable, "text/plain", "nothing is known here yet\n"};
    }
    return {status_ok, "application/x-protobuf",
            peer::write_feed_page(make_page(feed_, position, *as_of, loop_.now()))};
}

// Sends the current data with its age, so that readers notice when this host gets no updates and
// switch to another source.
void feed_server::on_hold_expired()
{
    timer_ = 0;
    while (!readers_.empty() && readers_.front().due_ <= loop_.now()) {
        const reader due = std::move(readers_.front());
        readers_.pop_front();
        due.reply_(page_at(due.position_));
    }
    if (!readers_.empty()) {
        timer_ = loop_.at(readers_.front().due_, [this] { on_hold_expired(); });
    }
}

} // namespace savoryscale::directory
