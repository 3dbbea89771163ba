#include "common/load_run.hpp"

#include <fmt/format.h>

#include <cmath>
#include <utility>

namespace savoryscale::standins {

namespace {

constexpr duration retry_delay = std::chrono::milliseconds{5};

call_kind draw_kind(const std::array<double, call_kind_count>& weights, random_source& random)
{
    double total = 0;
    for (const double weight : weights) {
        total += weight;
    }
    double left = uniform_unit(random) * total;
    for (std::size_t kind = 0; kind < call_kind_count; ++kind) {
        left -= weights[kind];
        if (left < 0) {
            return static_cast<call_kind>(kind);
        }
    }
    return call_kind::lookup;
}

std::string target_of(const load_settings& settings, call_kind kind, std::uint64_t number)
{
    switch (kind) {
    case call_kind::commit:
        return fmt::format("{}/{}", settings.commit_path_, number);
    case call_kind::download:
        return fmt::format("{}/{}?size={}", settings.download_path_, number,
                           settings.download_bytes_);
    default:
        return fmt::format("{}/{}?size={}", settings.lookup_path_, number, settings.lookup_bytes_);
    }
}

std::uint64_t size_of(const load_settings& settings, call_kind kind)
{
    switch (kind) {
    case call_kind::commit:
        return settings.commit_bytes_;
    case call_kind::download:
        return settings.download_bytes_;
    default:
        return settings.lookup_bytes_;
    }
}

} // namespace

load_run::load_run(boost::asio::io_context& io, const load_settings& settings)
    : io_{io},
      settings_{settings},
      random_{settings.seed_},
      arrival_{io},
      idle_(settings.hosts_.size())
{
}

const load_totals& load_run::run()
{
    const time_point begin = monotonic_now();
    if (settings_.rate_ > 0) {
        next_arrival_ = begin;
        schedule_arrival();
    }
    else {
        start_calls();
    }
    io_.restart();
    io_.run();
    totals_.elapsed_ = monotonic_now() - begin;
    return totals_;
}

// Waits for the next arrival; the times between arrivals are exponentially distributed.
void load_run::schedule_arrival()
{
    if (issued_ == settings_.calls_) {
        return;
    }
    arrival_.expires_at(next_arrival_);
    arrival_.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            on_arrival();
        }
    });
}

void load_run::on_arrival()
{
    const time_point now = monotonic_now();
    while (issued_ < settings_.calls_ && next_arrival_ <= now) {
        enqueue_call(next_arrival_);
        const double seconds = -std::log(1.0 - uniform_unit(random_)) / settings_.rate_;
        next_arrival_ += duration{static_cast<duration::rep>(seconds * 1e9)};
    }
    start_calls();
    schedule_arrival();
}

void load_run::enqueue_call(time_point intended)
{
    backlog_.push_back(make_call(intended));
    ++issued_;
}

void load_run::start_calls()
{
    while (in_progress_ < settings_.concurrency_) {
        if (backlog_.empty() && settings_.rate_ <= 0 && issued_ < settings_.calls_) {
            enqueue_call(monotonic_now());
        }
        if (backlog_.empty()) {
            return;
        }
        call next = std::move(backlog_.front());
        backlog_.pop_front();
        ++in_progress_;
        start(std::move(next));
    }
}

call load_run::make_call(time_point intended)
{
    call made;
    made.kind_ = draw_kind(settings_.weights_, random_);
    made.target_ = target_of(settings_, made.kind_, issued_);
    made.size_ = size_of(settings_, made.kind_);
    made.customer_ = fmt::format("customer-{}", uniform_below(random_, settings_.customers_));
    made.host_ = uniform_below(random_, settings_.hosts_.size());
    made.intended_ = intended;
    if (made.kind_ == call_kind::commit) {
        made.commit_id_ = fmt::format("c{}-{}", settings_.seed_, issued_);
        made.keyed_ = uniform_unit(random_) < settings_.keyed_ratio_;
    }
    return made;
}

std::shared_ptr<caller> load_run::take_caller(std::size_t host)
{
    auto& idle = idle_[host];
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        const auto state = candidate->inspect();
        if (state == caller::idle_state::ready) {
            return candidate;
        }
        totals_.surplus_ += state == caller::idle_state::surplus ? 1 : 0;
    }
    return std::make_shared<caller>(io_, settings_.hosts_[host], settings_.caller_);
}

void load_run::start(call next)
{
    ++next.attempts_;
    const auto used = take_caller(next.host_);
    used->perform(next, [this, next, used](call_end end) { on_attempt_ended(next, end, used); });
}

void load_run::on_attempt_ended(call attempted, call_end end, const std::shared_ptr<caller>& used)
{
    ++totals_.attempt_ends_[static_cast<std::size_t>(end)];
    if (used->connected()) {
        idle_[attempted.host_].push_back(used);
    }
    if (attempted.kind_ == call_kind::commit) {
        commit_record& record = totals_.commits_[attempted.commit_id_];
        ++record.attempts_;
        record.not_run_answers_ += end == call_end::not_run ? 1 : 0;
        record.acknowledged_ = record.acknowledged_ || end == call_end::good;
    }
    if (can_retry(attempted, end)) {
        schedule_retry(std::move(attempted));
        return;
    }
    const auto kind = static_cast<std::size_t>(attempted.kind_);
    ++totals_.ends_[kind][static_cast<std::size_t>(end)];
    if (end == call_end::good) {
        const auto spent = std::chrono::duration_cast<std::chrono::microseconds>(
            monotonic_now() - attempted.intended_);
        totals_.latency_[kind].add(static_cast<std::uint64_t>(spent.count()));
    }
    --in_progress_;
    start_calls();
}

// A caller retries a commit that was not run, and with an idempotency key also one that may have
// run. Crashing requests are always retried. Good and wrong answers are final.
bool load_run::can_retry(const call& attempted, call_end end) const
{
    if (attempted.attempts_ >= settings_.attempts_ || end == call_end::good ||
        end == call_end::wrong) {
        return false;
    }
    if (attempted.kind_ == call_kind::crashing_request) {
        return true;
    }
    return attempted.kind_ == call_kind::commit && (end == call_end::not_run || attempted.keyed_);
}

void load_run::schedule_retry(call attempted)
{
    attempted.host_ = (attempted.host_ + 1) % settings_.hosts_.size();
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(retry_delay);
    timer->async_wait([this, timer, attempted = std::move(attempted)](
                          const boost::system::error_code&) { start(attempted); });
}

} // namespace savoryscale::standins
