#include "directory/feed_client.hpp"

#include "base/backoff.hpp"
#include "directory/feed_server.hpp"
#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "peer/feed_wire.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

using namespace std::chrono_literals;

// Backoff before the next attempt, doubled with each consecutive failure.
constexpr duration backoff_min = 40ms;
constexpr duration backoff_max = 1s;

// Fits all targets at the design size and a desired state of one megabyte.
constexpr std::size_t answer_max_bytes = std::size_t{4} << 20U;

// One for the call in progress, and one to replace a connection that does not respond.
constexpr std::size_t connections_max = 2;

constexpr int status_ok = 200;

} // namespace

std::vector<settings::endpoint> peer_order(std::span<const settings::endpoint> peers,
                                           const settings::endpoint& own, std::string_view host)
{
    std::vector<settings::endpoint> others{peers.begin(), peers.end()};
    std::erase(others, own);
    const auto rank = [host](const settings::endpoint& peer) {
        const std::string text = fmt::format("{} {}", host, to_string(peer));
        return XXH3_64bits(text.data(), text.size());
    };
    std::stable_sort(others.begin(), others.end(),
                     [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
    return others;
}

feed_client::feed_client(http::event_loop& loop, duration timeout, random_source& random,
                         feed_client_events events)
    : loop_{loop}, timeout_{timeout}, random_{random}, events_{std::move(events)}
{
}

feed_client::~feed_client()
{
    loop_.cancel(timer_);
    exchange_.reset();
}

void feed_client::set_peers(std::span<const settings::endpoint> peers)
{
    cancel_call();
    peers_.assign(peers.begin(), peers.end());
    current_ = 0;
    pool_.reset();
    if (active_) {
        send_request();
    }
}

void feed_client::set_active(bool active)
{
    if (std::exchange(active_, active) == active) {
        return;
    }
    cancel_call();
    if (active_) {
        failures_ = 0;
        send_request();
    }
}

void feed_client::skip_peer()
{
    if (active_ && exchange_ != nullptr) {
        fail("the peer's data is out of date");
    }
}

std::string feed_client::peer_name() const
{
    return peers_.empty() ? std::string{} : to_string(peers_[current_]);
}

void feed_client::send_request()
{
    if (peers_.empty()) {
        return;
    }
    if (pool_ == nullptr) {
        pool_ = std::make_unique<http::connection_pool>(loop_, peers_[current_], false,
                                                        connections_max);
    }
    exchange_ = std::make_unique<http::buffered_exchange>(
        loop_,
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    feed_path(events_.position_(), events_.announced_host_()), pool_->name()),
        answer_max_bytes);
    const bool began = exchange_->start(
        *pool_, timeout_, [this](const http::buffered_answer& answer) { on_answer(answer); });
    if (!began) {
        fail("no free connection");
    }
}

void feed_client::on_answer(const http::buffered_answer& answer)
{
    loop_.destroy_later(std::move(exchange_)); // its callback is still on the stack
    if (answer.end_ != http::buffered_answer::end::answered || answer.head_.status_ != status_ok) {
        fail(fmt::format("exchange ended with result {}, HTTP status {}",
                         static_cast<int>(answer.end_), answer.head_.status_));
        return;
    }
    const auto page = peer::read_feed_page(answer.body_);
    if (!page) {
        fail(to_string(page.error()));
        return;
    }
    if (const std::string_view why = events_.on_page_(*page); !why.empty()) {
        fail(std::string{why});
        return;
    }
    failures_ = 0;
    if (std::exchange(lost_, false)) {
        telemetry::state_change("peer_regained", {{"peer", peer_name()}});
    }
    if (active_ && exchange_ == nullptr && timer_ == 0) {
        send_request();
    }
}

// Switches to the next peer after a backoff.
void feed_client::fail(const std::string& reason)
{
    if (!std::exchange(lost_, true)) {
        telemetry::state_change("peer_lost", {{"peer", peer_name()}, {"why", reason}},
                                telemetry::severity::warning);
        if (events_.on_lost_) {
            events_.on_lost_();
        }
    }
    cancel_call();
    if (pool_ != nullptr) {
        loop_.destroy_later(std::move(pool_)); // one of its functions may be on the stack
    }
    current_ = (current_ + 1) % peers_.size();
    timer_ = loop_.after(backoff(backoff_min, backoff_max, failures_++, random_), [this] {
        timer_ = 0;
        if (active_) {
            send_request();
        }
    });
}

void feed_client::cancel_call()
{
    loop_.cancel(std::exchange(timer_, 0));
    exchange_.reset();
}

} // namespace savoryscale::directory
