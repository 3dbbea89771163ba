#include "http/relay_hosts.hpp"

#include "directory/feed_server.hpp"
#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// A host of the feed answers in milliseconds; callers wait meanwhile.
constexpr duration answer_timeout = 60ms;
constexpr std::size_t answer_bytes_max = 65536;

constexpr std::size_t feed_connections_max = 2;
constexpr std::size_t relay_connections_max = 32; // to each host

constexpr int status_ok = 200;

} // namespace

relay_hosts::relay_hosts(event_loop& loop, random_source& random, const settings::settings& config)
    : loop_{loop}, random_{random}, config_{config}
{
}

relay_hosts::~relay_hosts() = default;

bool relay_hosts::is_enabled() const
{
    return config_.directory_ && config_.directory_->feed_ && config_.directory_->feed_->relay_;
}

void relay_hosts::set_feed_hosts(std::span<const settings::endpoint> hosts)
{
    feed_hosts_.clear();
    unanswered_ = 0;
    for (const settings::endpoint& host : hosts) {
        if (host != config_.directory_->feed_->address_) {
            feed_hosts_.push_back(std::make_unique<feed_host>());
            feed_hosts_.back()->pool_ =
                std::make_unique<connection_pool>(loop_, host, false, feed_connections_max);
        }
    }
    resolve(true); // those asked before answer no more
}

std::uint64_t relay_hosts::find(const directory::relay_need& need,
                                std::vector<settings::endpoint> tried, found_function found)
{
    const waiting_call call{need, std::move(tried), std::move(found)};
    if (directory::is_current(book_, loop_.now())) {
        call.found_(choose(call));
        return 0;
    }
    const std::uint64_t id = ++last_id_;
    waiting_.emplace(id, call);
    if (unanswered_ == 0) {
        ask();
    }
    return waiting_.count(id) > 0 ? id : 0;
}

void relay_hosts::ask()
{
    learning_ = known_ ? known_() : std::vector<directory::announced_host>{};
    unanswered_ = feed_hosts_.size() + 1; // one for this loop
    for (const auto& each : feed_hosts_) {
        feed_host& asked = *each;
        asked.exchange_ = std::make_unique<buffered_exchange>(
            loop_,
            fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
                        directory::hosts_path(config_.host_.data_centre_), asked.pool_->name()),
            answer_bytes_max);
        const bool began = asked.exchange_->start(
            *asked.pool_, answer_timeout, [this, &asked](const buffered_answer& answer) {
                loop_.destroy_later(std::move(asked.exchange_));
                const bool answered = answer.end_ == buffered_answer::end::answered &&
                                      answer.head_.status_ == status_ok;
                if (const auto hosts = directory::read_hosts(answer.body_); answered && hosts) {
                    learning_.insert(learning_.end(), hosts->begin(), hosts->end());
                }
                on_answered();
            });
        if (!began) {
            asked.exchange_.reset();
            on_answered();
        }
    }
    on_answered();
}

// Calls that wait are served as soon as one answer names a host for them.
void relay_hosts::on_answered()
{
    --unanswered_;
    directory::on_hosts_learned(book_, learning_, *config_.directory_->feed_->relay_, loop_.now());
    if (unanswered_ > 0) {
        book_.learned_at_ = {}; // not complete yet
    }
    resolve(unanswered_ == 0);
}

void relay_hosts::resolve(bool all_answered)
{
    std::vector<std::pair<found_function, std::optional<relay>>> resolved;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const auto chosen = choose(at->second);
        if (chosen || all_answered) {
            resolved.emplace_back(std::move(at->second.found_), chosen);
            at = waiting_.erase(at);
        }
        else {
            ++at;
        }
    }
    for (const auto& [found, chosen] : resolved) {
        found(chosen);
    }
}

std::optional<relay_hosts::relay> relay_hosts::choose(const waiting_call& call)
{
    const auto address = directory::choose_relay(book_, call.need_, config_.host_.data_centre_,
                                                 call.tried_, loop_.now(), random_);
    if (!address) {
        return std::nullopt;
    }
    auto& pool = pools_[to_string(*address)];
    if (pool == nullptr) {
        pool = std::make_unique<connection_pool>(loop_, *address, false, relay_connections_max);
    }
    return relay{*address, pool.get()};
}

void relay_hosts::on_failed(const settings::endpoint& address)
{
    directory::on_relay_failed(book_, address, loop_.now());
}

void relay_hosts::close_aged(time_point now)
{
    for (const auto& [address, pool] : pools_) {
        pool->close_aged(now);
    }
}

} // namespace savoryscale::http
