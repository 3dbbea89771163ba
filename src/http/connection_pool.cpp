#include "http/connection_pool.hpp"

#include "http/event_loop.hpp"
#include "http/socket.hpp"
#include "http/upstream_connection.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// A connection that answered within this time is assumed to work in both directions.
constexpr duration verified_lifetime = 1s;

// Idle connections are closed after this, before the idle timeout that upstreams usually have.
constexpr duration idle_lifetime = 10s;

// An idle connection is not reused for this long after an answer, so that surplus bytes after the
// answer are noticed first.
constexpr duration reuse_delay = 2ms;

// A target that runs accepts a connection in milliseconds.
constexpr duration check_timeout = 300ms;

// After surplus bytes from a target, none of its connections are reused for this long.
constexpr duration no_reuse_time = 10s;

} // namespace

connection_pool::connection_pool(event_loop& loop, settings::endpoint address, bool tls,
                                 std::size_t cap)
    : loop_{loop}, address_{std::move(address)}, tls_{tls}, cap_{cap}
{
}

connection_pool::~connection_pool()
{
    loop_.cancel(check_timer_);
}

std::deque<upstream_connection*>::iterator connection_pool::find_usable(bool verified,
                                                                        time_point now)
{
    if (now < no_reuse_until_) {
        return idle_.end();
    }
    const auto is_usable = [&](const upstream_connection* candidate) {
        const duration age = now - candidate->last_verified();
        return age >= reuse_delay && age <= (verified ? verified_lifetime : idle_lifetime);
    };
    if (answer_ids_) { // the connection that answered last, without the reuse delay
        const duration age = idle_.empty() ? duration::max() : now - idle_.back()->last_verified();
        const bool usable = age <= (verified ? verified_lifetime : idle_lifetime);
        return usable ? std::prev(idle_.end()) : idle_.end();
    }
    return std::find_if(idle_.begin(), idle_.end(), is_usable);
}

upstream_connection* connection_pool::acquire(upstream_exchange* exchange, bool verified)
{
    const auto usable = find_usable(verified, loop_.now());
    if (usable != idle_.end()) {
        upstream_connection* connection = *usable;
        idle_.erase(usable);
        ++counters_.reused_;
        connection->assign(exchange);
        return connection;
    }
    if (connections_.size() >= cap_ && !idle_.empty()) {
        upstream_connection* connection = idle_.front();
        if (loop_.now() - connection->last_verified() < reuse_delay &&
            loop_.now() >= no_reuse_until_) {
            idle_.pop_front(); // the cap is reached: better one within the reuse delay than none
            ++counters_.reused_;
            connection->assign(exchange);
            return connection;
        }
        drop(*connection); // unusable for this exchange: close it to make room for a new one
    }
    if (connections_.size() >= cap_) {
        return nullptr;
    }
    return open(exchange);
}

void connection_pool::close_idle_unverified_since(time_point moment)
{
    const auto idle = idle_;
    for (upstream_connection* connection : idle) {
        if (connection->last_verified() < moment) {
            ++counters_.retired_;
            drop(*connection);
        }
    }
}

bool connection_pool::has_room() const
{
    return (!idle_.empty() || connections_.size() < cap_);
}

std::string connection_pool::name() const
{
    return to_string(address_);
}

void connection_pool::set_cap(std::size_t cap)
{
    cap_ = cap;
    while (connections_.size() > cap_ && !idle_.empty()) {
        drop(*idle_.front());
    }
}

upstream_connection* connection_pool::open(upstream_exchange* exchange)
{
    auto owned = std::make_unique<upstream_connection>(*this, loop_.now(), exchange == nullptr);
    upstream_connection* connection = owned.get();
    connections_.emplace(connection, std::move(owned));
    connection->assign(exchange);
    socket* stream = loop_.connect(address_, tls_, connection);
    if (stream == nullptr) {
        connections_.erase(connection);
        ++counters_.refused_;
        return nullptr;
    }
    connection->attach(stream);
    ++counters_.opened_;
    return connection;
}

void connection_pool::ensure_idle_connection()
{
    if (!idle_.empty() || pending_idle_ > 0 || connections_.size() >= cap_) {
        return;
    }
    if (open(nullptr) != nullptr) {
        ++pending_idle_;
    }
}

void connection_pool::check(std::function<void(bool accepts)> done)
{
    if (connections_.size() >= cap_) {
        done(true);
        return;
    }
    checks_.push_back(std::move(done));
    if (checks_.size() > 1) {
        return;
    }
    if (open(nullptr) == nullptr) {
        report_check(false);
        return;
    }
    ++pending_idle_;
    check_timer_ = loop_.after(check_timeout, [this] {
        check_timer_ = 0;
        report_check(false);
    });
}

void connection_pool::report_check(bool accepts)
{
    loop_.cancel(std::exchange(check_timer_, 0));
    for (const auto& done : std::exchange(checks_, {})) {
        done(accepts);
    }
}

void connection_pool::close_idle()
{
    while (!idle_.empty()) {
        drop(*idle_.front());
    }
}

void connection_pool::close_aged(time_point now)
{
    while (!idle_.empty() && now - idle_.front()->last_verified() > idle_lifetime) {
        ++counters_.retired_;
        drop(*idle_.front());
    }
}

void connection_pool::connection_opened(upstream_connection& connection)
{
    --pending_idle_;
    idle_.push_back(&connection);
    report_check(true);
}

void connection_pool::connection_released(upstream_connection& connection, bool reusable)
{
    if (reusable && connections_.size() <= cap_) {
        idle_.push_back(&connection);
        return;
    }
    drop(connection);
}

void connection_pool::connection_closed(upstream_connection& connection)
{
    if (!connection.is_open() && connection.is_spare()) {
        --pending_idle_;
        report_check(false);
    }
    drop(connection);
}

void connection_pool::connection_poisoned()
{
    ++counters_.poisoned_;
    if (!answer_ids_) {
        no_reuse_until_ = loop_.now() + no_reuse_time;
    }
}

// Closes the connection and removes it; it is destroyed once the current callback has returned.
void connection_pool::drop(upstream_connection& connection)
{
    const auto idle = std::find(idle_.begin(), idle_.end(), &connection);
    if (idle != idle_.end()) {
        idle_.erase(idle);
    }
    const auto found = connections_.find(&connection);
    if (found == connections_.end()) {
        return;
    }
    connection.close_socket();
    loop_.destroy_later(std::move(found->second));
    connections_.erase(found);
}

} // namespace savoryscale::http
