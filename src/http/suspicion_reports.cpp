#include "http/suspicion_reports.hpp"

#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "peer/suspicion_wire.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

constexpr duration answer_timeout = 200ms;
constexpr std::size_t answer_bytes_max = 65536;

// One for the report in flight, and one to replace a connection that does not respond.
constexpr std::size_t connections_max = 2;

constexpr int status_ok = 200;

} // namespace

suspicion_reports::suspicion_reports(event_loop& loop, random_source& random,
                                     const admission::quarantine& known,
                                     received_function on_received)
    : loop_{loop}, random_{random}, quarantine_{known}, on_received_{std::move(on_received)}
{
}

suspicion_reports::~suspicion_reports()
{
    set_hosts({}, {});
}

void suspicion_reports::set_hosts(std::span<const settings::endpoint> hosts,
                                  const settings::endpoint& own)
{
    auto before = std::exchange(receivers_, {});
    const bool is_one = std::find(hosts.begin(), hosts.end(), own) != hosts.end();
    for (const settings::endpoint& host : hosts) {
        if (host == own) {
            continue;
        }
        const auto known = std::find_if(before.begin(), before.end(), [&](const auto& one) {
            return one != nullptr && one->address_ == host;
        });
        if (known != before.end()) {
            receivers_.push_back(std::move(*known));
            continue;
        }
        auto added = std::make_unique<receiver>();
        added->address_ = host;
        added->is_asked_ = !is_one;
        added->pool_ = std::make_unique<connection_pool>(loop_, host, false, connections_max);
        receivers_.push_back(std::move(added));
        add_all(*receivers_.back());
    }
    for (const auto& removed : before) {
        if (removed != nullptr) {
            loop_.cancel(removed->timer_);
            removed->exchange_.reset();
        }
    }
}

void suspicion_reports::add_all(receiver& to)
{
    for (const admission::fingerprint request : admission::suspects_at(quarantine_, loop_.now())) {
        admission::add(to.outbox_, request);
    }
    send(to);
}

void suspicion_reports::report(admission::fingerprint request)
{
    for (const auto& each : receivers_) {
        admission::add(each->outbox_, request);
        send(*each);
    }
}

void suspicion_reports::report_all(std::string_view host)
{
    for (const auto& each : receivers_) {
        if (to_string(each->address_) == host) {
            add_all(*each);
        }
    }
}

// The path of the next message; empty while none is due.
std::string suspicion_reports::next_path(receiver& to)
{
    const time_point now = loop_.now();
    if (!to.is_asked_ && to.exchange_ == nullptr && now >= to.outbox_.next_at_) {
        return std::string{peer::suspicions_path_prefix};
    }
    std::vector<peer::fact> facts;
    for (const admission::fingerprint request : admission::take_batch(to.outbox_, now)) {
        facts.push_back(admission::shared_suspicion_of(quarantine_, request, now));
    }
    return facts.empty() ? std::string{} : peer::write_suspicions_path(facts);
}

// Sends the next message now, or arms the timer for it.
void suspicion_reports::send(receiver& to)
{
    if (to.exchange_ != nullptr) {
        return;
    }
    loop_.cancel(std::exchange(to.timer_, 0));
    const std::string path = next_path(to);
    if (path.empty()) {
        const auto next = admission::next_batch_at(to.outbox_);
        if (next || !to.is_asked_) {
            to.timer_ = loop_.at(to.outbox_.next_at_, [this, &to] {
                to.timer_ = 0;
                send(to);
            });
        }
        return;
    }
    to.exchange_ = std::make_unique<buffered_exchange>(
        loop_, fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", path, to.pool_->name()),
        answer_bytes_max);
    const bool began =
        to.exchange_->start(*to.pool_, answer_timeout, [this, &to](const buffered_answer& answer) {
            loop_.destroy_later(std::move(to.exchange_));
            on_ended(to, answer);
        });
    if (!began) {
        to.exchange_.reset();
        on_ended(to, {});
    }
}

void suspicion_reports::on_ended(receiver& to, const buffered_answer& answer)
{
    const bool received =
        answer.end_ == buffered_answer::end::answered && answer.head_.status_ == status_ok;
    const bool asked = to.outbox_.sending_.empty();
    admission::on_batch_ended(to.outbox_, received, loop_.now(), random_);
    if (asked && received) {
        to.is_asked_ = true;
        if (const auto known = peer::read_suspicions(answer.body_)) {
            on_received_(*known);
        }
    }
    send(to);
}

} // namespace savoryscale::http
