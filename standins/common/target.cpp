#include "common/target.hpp"

#include "common/session.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace savoryscale::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr duration drain_grace = std::chrono::seconds{3};

duration from_us(double us)
{
    return duration{static_cast<duration::rep>(us * 1000.0)};
}

duration from_ms(double ms)
{
    return from_us(ms * 1000.0);
}

double exponential(random_source& random)
{
    return -std::log(1.0 - uniform_unit(random));
}

} // namespace

target::target(asio::io_context& io, const tcp::endpoint& address, const behaviour& traits,
               shared_counters& shared, std::uint64_t seed)
    : behaviour_{traits},
      io_{io},
      address_{address},
      shared_{shared},
      random_{seed},
      acceptor_{io},
      restart_{io},
      idle_close_{io},
      process_start_{monotonic_now()},
      started_at_{process_start_}
{
}

void target::start()
{
    started_at_ = monotonic_now();
    listen();
    accept();
}

void target::listen()
{
    acceptor_.open(address_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    acceptor_.bind(address_);
    acceptor_.listen();
    address_ = acceptor_.local_endpoint();
}

void target::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            auto connection = std::make_shared<session>(std::move(socket), *this);
            add(connection);
            connection->start();
        }
        accept();
    });
}

void target::add(const std::shared_ptr<session>& connection)
{
    sessions_.insert(connection);
    ++counters_.connections_opened_;
    counters_.connections_ = sessions_.size();
    counters_.connections_max_ = std::max(counters_.connections_max_, counters_.connections_);
}

void target::remove(const std::shared_ptr<session>& connection)
{
    sessions_.erase(connection);
    counters_.connections_ = sessions_.size();
}

std::uint64_t target::submit(job work)
{
    const std::uint64_t number = next_number_++;
    waiting_.push_back({number, std::move(work)});
    start_next();
    return number;
}

void target::cancel(std::uint64_t number)
{
    ++counters_.cancelled_;
    const auto waits = [number](const queued_job& queued) { return queued.number_ == number; };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), waits), waiting_.end());
    running_.erase(number);
    start_next();
}

void target::start_next()
{
    while (running_.size() < behaviour_.slots_ && !waiting_.empty()) {
        queued_job next = std::move(waiting_.front());
        waiting_.pop_front();
        if (next.work_.expires_ && *next.work_.expires_ < monotonic_now()) {
            asio::post(io_, [finished = std::move(next.work_.finished_)] { finished(false); });
            continue;
        }
        run(next.number_, std::move(next.work_));
    }
}

void target::run(std::uint64_t number, job work)
{
    ++counters_.started_;
    if (!work.commit_id_.empty()) {
        ++shared_.commits_[work.commit_id_].started_;
    }
    auto timer = std::make_unique<asio::steady_timer>(io_);
    timer->expires_after(draw_service_time());
    timer->async_wait([this, number](const boost::system::error_code& failure) {
        if (!failure) {
            finish(number);
        }
    });
    running_.emplace(number, running_job{std::move(work), std::move(timer)});
}

void target::finish(std::uint64_t number)
{
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return;
    }
    const job work = std::move(found->second.work_);
    running_.erase(found);
    if (!work.commit_id_.empty()) {
        ++shared_.commits_[work.commit_id_].ran_;
    }
    work.finished_(true);
    start_next();
}

void target::drain()
{
    drained_at_ = monotonic_now();
    close_idle_later();
}

// Closes idle connections every drain_idle_ms_ until no connection is open or the drain ends.
void target::close_idle_later()
{
    idle_close_.expires_after(from_ms(behaviour_.drain_idle_ms_));
    idle_close_.async_wait([this](const boost::system::error_code& failure) {
        if (failure || !drained_at_) {
            return;
        }
        const auto open = sessions_;
        for (const auto& connection : open) {
            connection->close_if_idle();
        }
        if (!sessions_.empty()) {
            close_idle_later();
        }
    });
}

void target::restore()
{
    drained_at_.reset();
    idle_close_.cancel();
    started_at_ = monotonic_now();
}

void target::crash()
{
    ++counters_.crashes_;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    waiting_.clear();
    running_.clear();
    const auto open = sessions_;
    for (const auto& connection : open) {
        connection->abort();
    }
    drained_at_.reset();
    restart_.expires_after(from_ms(behaviour_.down_ms_));
    restart_.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            start();
        }
    });
}

void target::silence()
{
    const auto open = sessions_;
    for (const auto& connection : open) {
        connection->silence();
    }
}

void target::count_request()
{
    ++counters_.requests_;
    if (!drained_at_) {
        return;
    }
    ++counters_.requests_after_drain_;
    if (monotonic_now() - *drained_at_ > drain_grace) {
        ++counters_.requests_after_drain_3s_;
    }
}

void target::count_probe()
{
    ++counters_.probes_;
    const auto age =
        std::chrono::duration_cast<std::chrono::seconds>(monotonic_now() - process_start_);
    const auto second = static_cast<std::size_t>(age.count());
    if (shared_.probes_per_second_.size() <= second) {
        shared_.probes_per_second_.resize(second + 1);
    }
    ++shared_.probes_per_second_[second];
}

load_snapshot target::reported_load()
{
    const time_point now = monotonic_now();
    const double slots = std::max(1.0, static_cast<double>(behaviour_.slots_));
    const load_snapshot current{running_.size() + waiting_.size(),
                                static_cast<double>(running_.size()) / slots, now};
    load_snapshot reported = current;
    if (behaviour_.load_lag_ms_ > 0) {
        reported = snapshot_;
        if (now - snapshot_.taken_ >= from_ms(behaviour_.load_lag_ms_)) {
            snapshot_ = current;
        }
    }
    const double in_flight = static_cast<double>(reported.in_flight_) * behaviour_.load_factor_;
    reported.in_flight_ = static_cast<std::size_t>(in_flight);
    reported.utilization_ = std::min(1.0, reported.utilization_ * behaviour_.load_factor_);
    return reported;
}

bool target::reports_healthy() const
{
    return !drained_at_ || monotonic_now() - *drained_at_ < from_ms(behaviour_.health_lag_ms_);
}

duration target::draw_service_time()
{
    const time_point now = monotonic_now();
    const double spread = behaviour_.service_spread_;
    const double drawn = (1.0 - spread) + spread * exponential(random_);
    const double factor =
        behaviour_.slow_factor_ * current_noise_factor(now) * cold_start_factor(now);
    return from_us(behaviour_.service_us_ * drawn * factor);
}

double target::current_noise_factor(time_point now)
{
    if (behaviour_.noise_factor_ <= 1) {
        return 1;
    }
    noise_until_ = std::max(noise_until_, started_at_);
    while (noise_until_ <= now) {
        noisy_ = !noisy_;
        const double mean_ms = noisy_ ? behaviour_.noise_on_ms_ : behaviour_.noise_off_ms_;
        noise_until_ += from_ms(std::max(0.01, mean_ms * exponential(random_)));
    }
    return noisy_ ? behaviour_.noise_factor_ : 1;
}

double target::cold_start_factor(time_point now) const
{
    const double age_ms = std::chrono::duration<double, std::milli>(now - started_at_).count();
    if (behaviour_.cold_factor_ <= 1 || age_ms >= behaviour_.cold_ms_) {
        return 1;
    }
    return behaviour_.cold_factor_ + (1 - behaviour_.cold_factor_) * age_ms / behaviour_.cold_ms_;
}

} // namespace savoryscale::standins
