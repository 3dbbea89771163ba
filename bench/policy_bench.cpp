// Compares the routing policies in virtual time: entry hosts run the real decision code, targets
// are simulated as slots with a queue. It is for quick trials of a policy; final figures come from
// real processes. The same seed gives the same figures.

#include "routing/service_view.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>

DEFINE_uint64(seed, 1, "seed of every random number");
DEFINE_double(seconds, 12, "virtual seconds per run");
DEFINE_string(scenario, "", "run only scenarios whose name contains this");
DEFINE_string(policy, "", "run only the policy of this name");
DEFINE_bool(hedge, false, "let every policy hedge, not only least_wait");
DEFINE_double(budget, -1, "probes per second over all hosts; negative: runs with 100 and with 0");
DEFINE_bool(load_in_answers, true, "targets report their load in answers");

namespace {

using namespace savoryscale;
using namespace savoryscale::routing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t host_count = 13;
constexpr std::size_t slots = 2;
constexpr std::uint32_t data_centres = 3;
constexpr double mean_service_ms = 3; // mean service time of a lookup
constexpr double service_time_sigma = 0.4;
constexpr duration local_hop = microseconds{100};
constexpr duration remote_hop = microseconds{500};
constexpr duration error_delay = microseconds{200};
constexpr duration target_list_delay = seconds{2};
constexpr duration retry_time_limit = seconds{5};
constexpr double fault_begin_fraction = 0.3; // fraction of the run
constexpr double fault_end_fraction = 0.8;
const time_point start{seconds{1000}};

enum class fault { none, stragglers, fail_fast, drain, cold_start, two_at_once, all_fail };

struct scenario {
    std::string name_;
    std::uint32_t targets_ = 20;
    double load_ = 0.6; // fraction of the capacity of all slots
    bool noise_ = true;
    fault fault_ = fault::none;
};

const std::vector<std::pair<std::string, policy>> policies = {
    {"random", policy::random},
    {"round_robin", policy::round_robin},
    {"least_requests", policy::least_requests},
    {"power_of_two", policy::power_of_two},
    {"hot_cold", policy::hot_cold},
    {"least_wait", policy::least_wait},
};

duration from_ms(double ms)
{
    return duration{static_cast<duration::rep>(ms * 1e6)};
}

double exponential(random_source& random, double mean)
{
    return -mean * std::log(1 - uniform_unit(random));
}

double log_normal(random_source& random, double mean, double sigma)
{
    const double radius = std::sqrt(-2 * std::log(1 - uniform_unit(random)));
    const double normal = radius * std::cos(2 * 3.14159265358979 * uniform_unit(random));
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

// A period in which a target is slower by a factor.
struct slow_period {
    time_point from_;
    time_point to_;
    double factor_ = 1;
};

struct call {
    std::uint32_t host_ = 0;
    time_point arrived_;
    duration work_{};
    bool over_ = false;
    std::vector<std::uint32_t> attempts_;
};

enum class attempt_state { in_transit, queued, running, over };

struct attempt {
    std::uint32_t call_ = 0;
    target_index target_ = 0;
    time_point sent_;
    attempt_state state_ = attempt_state::in_transit;
    bool failed_ = false;
    bool ended_ = false; // reported to the host
    double load_ = 0;    // reported in the answer
};

struct target {
    std::vector<slow_period> slow_;
    std::deque<std::uint32_t> queue_;
    std::size_t running_ = 0;

    double in_flight() const { return static_cast<double>(queue_.size() + running_); }
};

enum class event_kind {
    arrival,
    deliver,
    finish,
    answer,
    hedge,
    cancel,
    probe,
    probe_answer,
    list
};

struct event {
    time_point at_;
    std::uint64_t order_ = 0;
    event_kind kind_ = event_kind::arrival;
    std::uint32_t subject_ = 0;
    std::uint32_t target_ = 0;
    double load_ = 0;

    bool operator>(const event& other) const
    {
        return std::tie(at_, order_) > std::tie(other.at_, other.order_);
    }
};

struct outcome {
    std::vector<double> latencies_ms_;
    std::uint64_t first_attempts_ = 0;
    std::uint64_t extra_attempts_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t late_attempts_ = 0; // sent to a draining target after 3 s or more
    std::map<std::int64_t, std::uint32_t> probes_per_second_; // by second
};

class run {
public:
    run(const scenario& scenario, policy policy, double budget, bool hedge)
        : scenario_{scenario}, budget_{budget}, hedge_{hedge}, random_{FLAGS_seed}
    {
        make_targets();
        make_hosts(policy);
    }

    outcome operator()()
    {
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at_;
            handle(next);
        }
        return std::move(outcome_);
    }

private:
    static time_point time_at_fraction(double part)
    {
        return start + from_ms(FLAGS_seconds * 1000 * part);
    }

    bool is_faulty(std::uint32_t target) const
    {
        return now_ >= fault_begin_ && now_ < fault_end_ && target < faulty_targets;
    }

    bool fails(std::uint32_t target) const
    {
        switch (scenario_.fault_) {
        case fault::fail_fast:
            return is_faulty(target);
        case fault::two_at_once:
            return is_faulty(target) && target == 0;
        case fault::all_fail:
            return now_ >= fault_begin_ && now_ < fault_end_;
        default:
            return false;
        }
    }

    bool drains(std::uint32_t target) const
    {
        return scenario_.fault_ == fault::drain && now_ >= fault_begin_ && target < faulty_targets;
    }

    void make_targets()
    {
        targets_.resize(scenario_.targets_);
        for (std::uint32_t index = 0; index < scenario_.targets_; ++index) {
            add_noise(targets_[index]);
            add_fault(index);
        }
    }

    void add_noise(target& target)
    {
        time_point at = start;
        while (scenario_.noise_ && at < end_) {
            at += from_ms(exponential(random_, 200));
            const duration length = from_ms(std::exp(uniform_unit(random_) * std::log(50.0)));
            target.slow_.push_back({at, at + length, 2 + 6 * uniform_unit(random_)});
            at += length;
        }
    }

    void add_fault(std::uint32_t index)
    {
        auto& slow = targets_[index].slow_;
        const bool straggles = scenario_.fault_ == fault::stragglers ||
                               (scenario_.fault_ == fault::two_at_once && index == 1);
        if (index >= faulty_targets) {
            return;
        }
        if (straggles) {
            slow.push_back({fault_begin_, fault_end_, 6});
        }
        if (scenario_.fault_ == fault::cold_start) {
            slow.push_back({fault_begin_, fault_begin_ + seconds{1}, 5});
            slow.push_back({fault_begin_ + seconds{1}, fault_begin_ + seconds{2}, 2});
        }
    }

    void make_hosts(policy policy)
    {
        settings::service service;
        service.hedge_ = hedge_;
        const double rate =
            scenario_.load_ * scenario_.targets_ * slots / mean_service_ms; // calls per ms
        for (std::uint32_t host = 0; host < host_count; ++host) {
            hosts_.push_back(make_view(service, data_centre(host), policy));
            randoms_.emplace_back(FLAGS_seed * 1000 + host);
            hosts_.back().round_robin_next_ = uniform_below(randoms_.back(), scenario_.targets_);
            set_probe_share(hosts_.back(), budget_ / host_count);
            const double weight = 0.7 + 0.6 * host / (host_count - 1);
            mean_interarrival_ms_.push_back(host_count / rate / weight);
            update_target_list(host);
            add({start + from_ms(host), 0, event_kind::probe, host});
            next_arrival(host);
            if (scenario_.fault_ == fault::drain) {
                add({fault_begin_ + target_list_delay, 0, event_kind::list, host});
            }
            if (scenario_.fault_ == fault::cold_start) {
                add({fault_begin_, 0, event_kind::list, host});
            }
        }
    }

    static std::string data_centre(std::uint32_t index)
    {
        return std::to_string(index % data_centres);
    }

    static duration hop(std::uint32_t host, std::uint32_t target)
    {
        return host % data_centres == target % data_centres ? local_hop : remote_hop;
    }

    void update_target_list(std::uint32_t host)
    {
        std::vector<target_info> list;
        const bool fault_seen = now_ >= fault_begin_;
        for (std::uint32_t index = 0; index < scenario_.targets_; ++index) {
            target_info info{{"10.0.0." + std::to_string(index), 80}, data_centre(index), false, 1};
            if (fault_seen && index < faulty_targets) {
                info.leaving_ = scenario_.fault_ == fault::drain;
                info.incarnation_ = scenario_.fault_ == fault::cold_start ? 2 : 1;
            }
            list.push_back(info);
        }
        update_targets(hosts_[host], list, now_);
    }

    void add(event event)
    {
        event.order_ = ++order_;
        events_.push(event);
    }

    void handle(const event& next)
    {
        switch (next.kind_) {
        case event_kind::arrival:
            return arrive(next.subject_);
        case event_kind::deliver:
            return deliver(next.subject_);
        case event_kind::finish:
            return finish(next.subject_);
        case event_kind::answer:
            return take_answer(next.subject_);
        case event_kind::hedge:
            return hedge(next.subject_);
        case event_kind::cancel:
            return cancel(next.subject_);
        case event_kind::probe:
            return probe(next.subject_);
        case event_kind::probe_answer:
            return on_probe_ended(hosts_[next.subject_], next.target_,
                                  load_report{next.load_, next.load_ / slots, drains(next.target_)},
                                  now_);
        case event_kind::list:
            return update_target_list(next.subject_);
        }
    }

    void next_arrival(std::uint32_t host)
    {
        const time_point at = now_ + from_ms(exponential(random_, mean_interarrival_ms_[host]));
        if (at < end_) {
            add({at, 0, event_kind::arrival, host});
        }
    }

    void arrive(std::uint32_t host)
    {
        next_arrival(host);
        const auto index = static_cast<std::uint32_t>(calls_.size());
        calls_.push_back({host,
                          now_,
                          from_ms(log_normal(random_, mean_service_ms, service_time_sigma)),
                          false,
                          {}});
        ++outcome_.first_attempts_;
        if (!send(index)) {
            ++outcome_.failed_;
            return;
        }
        const auto wait = hedge_delay(hosts_[host], now_);
        if (wait) {
            add({now_ + *wait, 0, event_kind::hedge, index});
        }
    }

    bool send(std::uint32_t index)
    {
        call& call = calls_[index];
        std::vector<target_index> exclude;
        for (const auto earlier : call.attempts_) {
            exclude.push_back(attempts_[earlier].target_);
        }
        const auto chosen = choose(hosts_[call.host_], exclude, now_, randoms_[call.host_]);
        if (!chosen) {
            return false;
        }
        if (drains(*chosen) && now_ >= fault_begin_ + seconds{3}) {
            ++outcome_.late_attempts_;
        }
        on_attempt_started(hosts_[call.host_], *chosen, now_);
        const auto made = static_cast<std::uint32_t>(attempts_.size());
        attempts_.push_back({index, *chosen, now_});
        call.attempts_.push_back(made);
        add({now_ + hop(call.host_, *chosen), 0, event_kind::deliver, made});
        return true;
    }

    void deliver(std::uint32_t index)
    {
        attempt& attempt = attempts_[index];
        if (attempt.state_ == attempt_state::over) {
            return;
        }
        if (fails(attempt.target_)) {
            attempt.failed_ = true;
            attempt.state_ = attempt_state::over;
            return answer(index, error_delay);
        }
        attempt.state_ = attempt_state::queued;
        targets_[attempt.target_].queue_.push_back(index);
        run_next(attempt.target_);
    }

    void run_next(target_index index)
    {
        target& target = targets_[index];
        while (target.running_ < slots && !target.queue_.empty()) {
            const std::uint32_t next = target.queue_.front();
            target.queue_.pop_front();
            ++target.running_;
            attempts_[next].state_ = attempt_state::running;
            const duration work = calls_[attempts_[next].call_].work_;
            add({completion_time(target, work), 0, event_kind::finish, next});
        }
    }

    // When work that starts now is completed, given the slow periods of the target.
    time_point completion_time(const target& target, duration work) const
    {
        time_point at = now_;
        while (work > duration::zero()) {
            double factor = 1;
            time_point until = time_point::max();
            for (const auto& slow : target.slow_) {
                if (slow.from_ <= at && at < slow.to_) {
                    factor = std::max(factor, slow.factor_);
                    until = std::min(until, slow.to_);
                }
                else if (at < slow.from_) {
                    until = std::min(until, slow.from_);
                }
            }
            const duration needed = from_ms(static_cast<double>(work.count()) * factor / 1e6);
            if (needed <= until - at) {
                return at + needed;
            }
            const auto done = static_cast<double>((until - at).count()) / factor;
            work -= duration{static_cast<duration::rep>(done) + 1};
            at = until;
        }
        return at;
    }

    void finish(std::uint32_t index)
    {
        attempt& attempt = attempts_[index];
        if (attempt.state_ != attempt_state::running) {
            return;
        }
        attempt.state_ = attempt_state::over;
        --targets_[attempt.target_].running_;
        run_next(attempt.target_);
        answer(index, duration::zero());
    }

    void answer(std::uint32_t index, duration after)
    {
        attempt& attempt = attempts_[index];
        attempt.load_ = targets_[attempt.target_].in_flight();
        const duration return_hop = hop(calls_[attempt.call_].host_, attempt.target_);
        add({now_ + after + return_hop, 0, event_kind::answer, index});
    }

    void end_attempt(std::uint32_t index, attempt_end end)
    {
        attempt& attempt = attempts_[index];
        attempt.ended_ = true;
        attempt_report report{attempt.target_, end, now_ - attempt.sent_, {}};
        if (FLAGS_load_in_answers && end != attempt_end::abandoned) {
            report.load_ =
                load_report{attempt.load_, attempt.load_ / slots, drains(attempt.target_)};
        }
        on_attempt_ended(hosts_[calls_[attempt.call_].host_], report, now_);
    }

    void take_answer(std::uint32_t index)
    {
        attempt& attempt = attempts_[index];
        if (attempt.ended_) {
            return;
        }
        end_attempt(index, attempt.failed_ ? attempt_end::failed : attempt_end::answered);
        call& call = calls_[attempt.call_];
        if (attempt.failed_) {
            return retry(attempt.call_);
        }
        call.over_ = true;
        const duration latency = now_ - call.arrived_;
        outcome_.latencies_ms_.push_back(static_cast<double>(latency.count()) / 1e6);
        for (const auto other : call.attempts_) {
            if (!attempts_[other].ended_) {
                end_attempt(other, attempt_end::abandoned);
                add({now_ + hop(call.host_, attempts_[other].target_), 0, event_kind::cancel,
                     other});
            }
        }
    }

    void retry(std::uint32_t index)
    {
        call& call = calls_[index];
        const bool waits_for_other =
            std::any_of(call.attempts_.begin(), call.attempts_.end(),
                        [&](std::uint32_t other) { return !attempts_[other].ended_; });
        if (call.over_ || waits_for_other) {
            return;
        }
        const bool in_time = now_ - call.arrived_ < retry_time_limit;
        if (in_time && take_retry(hosts_[call.host_], now_) && send(index)) {
            ++outcome_.extra_attempts_;
            return;
        }
        call.over_ = true;
        ++outcome_.failed_;
    }

    void hedge(std::uint32_t index)
    {
        call& call = calls_[index];
        if (call.over_ || call.attempts_.size() > 1 || !take_hedge(hosts_[call.host_], now_)) {
            return;
        }
        if (send(index)) {
            ++outcome_.extra_attempts_;
        }
    }

    void cancel(std::uint32_t index)
    {
        attempt& attempt = attempts_[index];
        target& target = targets_[attempt.target_];
        if (attempt.state_ == attempt_state::queued) {
            std::erase(target.queue_, index);
        }
        if (attempt.state_ == attempt_state::running) {
            --target.running_;
        }
        attempt.state_ = attempt_state::over;
        run_next(attempt.target_);
    }

    void probe(std::uint32_t host)
    {
        if (now_ < end_) {
            add({now_ + milliseconds{5}, 0, event_kind::probe, host});
        }
        const auto chosen = next_probe(hosts_[host], now_, randoms_[host]);
        if (chosen) {
            ++outcome_.probes_per_second_[(now_ - start) / seconds{1}];
            add({now_ + 2 * hop(host, *chosen), 0, event_kind::probe_answer, host, *chosen,
                 targets_[*chosen].in_flight()});
        }
    }

    static constexpr std::uint32_t faulty_targets = 2;

    scenario scenario_;
    double budget_;
    bool hedge_;
    random_source random_;
    time_point now_ = start;
    time_point end_ = time_at_fraction(1);
    time_point fault_begin_ = time_at_fraction(fault_begin_fraction);
    time_point fault_end_ = time_at_fraction(fault_end_fraction);
    std::vector<target> targets_;
    std::vector<service_view> hosts_;
    std::vector<random_source> randoms_;
    std::vector<double> mean_interarrival_ms_;
    std::vector<call> calls_;
    std::vector<attempt> attempts_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    outcome outcome_;
};

double percentile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
}

void report(const std::string& name, double budget, bool hedge, outcome result)
{
    auto& sorted = result.latencies_ms_;
    std::sort(sorted.begin(), sorted.end());
    std::uint32_t probes_max = 0;
    for (const auto& [second, count] : result.probes_per_second_) {
        probes_max = std::max(probes_max, count);
    }
    fmt::print(
        "| {:<14} | {:>6} | {:>5} | {:>6.2f} | {:>7.2f} | {:>7.2f} | {:>6.3f}% | {:>6.3f}% | "
        "{:>4} | {:>4} |\n",
        name, budget, hedge ? "yes" : "no", percentile(sorted, 0.5), percentile(sorted, 0.99),
        percentile(sorted, 0.999),
        100.0 * static_cast<double>(result.failed_) / static_cast<double>(result.first_attempts_),
        100.0 * static_cast<double>(result.extra_attempts_) /
            static_cast<double>(result.first_attempts_),
        probes_max, result.late_attempts_);
}

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> made;
    const std::pair<std::string, std::uint32_t> sizes[] = {{"calloway", 20}, {"morales", 30}};
    const std::pair<std::string, fault> faults[] = {{"noise", fault::none},
                                                    {"stragglers", fault::stragglers},
                                                    {"fail-fast", fault::fail_fast},
                                                    {"drain", fault::drain},
                                                    {"cold-start", fault::cold_start},
                                                    {"two-at-once", fault::two_at_once},
                                                    {"all-fail", fault::all_fail}};
    for (const auto& [user, targets] : sizes) {
        for (const auto& [name, fault] : faults) {
            for (const double load : {0.6, 0.85}) {
                made.push_back(
                    {fmt::format("{}-{}-{}", user, name, load * 100), targets, load, true, fault});
            }
        }
    }
    return made;
}

void run_scenario(const scenario& scenario)
{
    fmt::print(
        "\n{}\n\n| policy         | probes | hedge |    p50 |     p99 |   p99.9 |  failed |  "
        "extra | max/s | late |\n|---|---|---|---|---|---|---|---|---|---|\n",
        scenario.name_);
    std::vector<double> budgets{100, 0};
    if (FLAGS_budget >= 0) {
        budgets = {FLAGS_budget};
    }
    for (const auto& [name, chosen] : policies) {
        const bool uses_probes = chosen == policy::hot_cold || chosen == policy::least_wait;
        for (const double budget : budgets) {
            const bool skipped = !uses_probes && budget != budgets.front();
            if (skipped || (!FLAGS_policy.empty() && FLAGS_policy != name)) {
                continue;
            }
            report(name, budget, FLAGS_hedge, run{scenario, chosen, budget, FLAGS_hedge}());
            if (chosen == policy::least_wait && !FLAGS_hedge) {
                report(name, budget, true, run{scenario, chosen, budget, true}());
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto& scenario : all_scenarios()) {
        if (FLAGS_scenario.empty() || scenario.name_.find(FLAGS_scenario) != std::string::npos) {
            run_scenario(scenario);
        }
    }
    return 0;
}
