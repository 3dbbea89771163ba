// Runs the decisions of routing, admission and quarantine without any I/O, from a seed. Prints a
// signature that changes only when a decision changes, and the time per call of each part.

#include "admission/admission.hpp"
#include "admission/quarantine.hpp"
#include "routing/service_view.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <xxhash.h>

#include <deque>
#include <fstream>
#include <string>

DEFINE_uint64(seed, 1, "seed of every random number");
DEFINE_uint64(steps, 100000, "calls per part");
DEFINE_string(check, "", "file with the expected signature; exit 1 when it differs");

namespace {

using namespace savoryscale;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{1000}};
constexpr std::uint64_t calls_per_retry = 40; // leaves part of the budget for hedges

// Hash over all decisions in their order.
struct signature {
    XXH64_hash_t hash_ = 0;
};

void mix(signature& signature, std::uint64_t decision)
{
    signature.hash_ = XXH64(&decision, sizeof decision, signature.hash_);
}

void mix(signature& signature, const std::optional<routing::target_index>& target)
{
    mix(signature, target ? *target + 1ULL : 0ULL);
}

struct open_attempt {
    routing::target_index target_ = 0;
    time_point started_;
};

routing::attempt_end random_attempt_end(random_source& random)
{
    const auto draw = uniform_below(random, 100);
    if (draw < 90) {
        return routing::attempt_end::answered;
    }
    return static_cast<routing::attempt_end>(draw % 7);
}

void end_oldest(routing::service_view& view, std::deque<open_attempt>& open, time_point now,
                random_source& random)
{
    const open_attempt oldest = open.front();
    open.pop_front();
    routing::attempt_report report{
        oldest.target_, random_attempt_end(random), now - oldest.started_, {}};
    report.load_ = routing::load_report{static_cast<double>(uniform_below(random, 6)), 0, false};
    on_attempt_ended(view, report, now);
}

std::vector<routing::target_info> make_targets(std::uint32_t count)
{
    std::vector<routing::target_info> made;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto data_centre = std::to_string(index % 3);
        made.push_back({{"10.0.0." + std::to_string(index), 80}, data_centre, false, 1});
    }
    return made;
}

// Simulates calls with about three in flight, a probe after each call, and a changed list of
// targets every 10,000 calls.
void run_routing(signature& signature, routing::policy policy, std::uint32_t target_count)
{
    random_source random{FLAGS_seed};
    auto view = routing::make_view(settings::service{}, "0", policy);
    auto targets = make_targets(target_count);
    set_probe_share(view, 8);
    std::deque<open_attempt> open;
    time_point now = start;
    update_targets(view, targets, now);
    for (std::uint64_t step = 0; step < FLAGS_steps; ++step) {
        now += microseconds{500 + uniform_below(random, 1000)};
        if (step % 10000 == 9999) {
            auto& changed = targets[uniform_below(random, targets.size())];
            changed.leaving_ = !changed.leaving_;
            ++changed.incarnation_;
            update_targets(view, targets, now);
        }
        const auto chosen = choose(view, {}, now, random);
        mix(signature, chosen);
        const duration hedge = hedge_delay(view, now).value_or(duration::zero());
        mix(signature, static_cast<std::uint64_t>(hedge.count()));
        if (chosen) {
            on_attempt_started(view, *chosen, now);
            open.push_back({*chosen, now});
        }
        if (open.size() > 3) {
            end_oldest(view, open, now, random);
        }
        mix(signature, next_probe(view, now, random));
        if (step % calls_per_retry == 0) {
            mix(signature, take_retry(view, now) ? 1ULL : 0ULL);
        }
    }
}

plans::lists make_lists()
{
    plans::lists lists;
    lists.version_ = 1;
    for (int number = 0; number < 4; ++number) {
        plans::plan plan;
        plan.name_ = "p" + std::to_string(number);
        const auto priority = static_cast<plans::priority>(number % 3);
        plan.allowances_.push_back({"sales", 50.0 * (number + 1), 20, 8, priority});
        lists.plans_.push_back(plan);
    }
    for (int number = 0; number < 300; ++number) {
        plans::customer customer;
        customer.name_ = "c" + std::to_string(number);
        customer.plan_ = "p" + std::to_string(number % 4);
        lists.customers_.push_back(customer);
    }
    return lists;
}

void run_admission(signature& signature)
{
    random_source random{FLAGS_seed};
    admission::state state = admission::make_state(1.0 / 13);
    time_point now = start;
    set_lists(state, make_lists(), now);
    std::deque<std::string> open;
    for (std::uint64_t step = 0; step < FLAGS_steps; ++step) {
        now += microseconds{200};
        if (step % 100 == 0) {
            set_load(state, "sales", 4 * uniform_unit(random), 3);
        }
        const std::string customer = "c" + std::to_string(uniform_below(random, 310));
        const auto verdict = admit(state, customer, "sales", now, random);
        mix(signature, static_cast<std::uint64_t>(verdict.reason_));
        mix(signature, static_cast<std::uint64_t>(verdict.retry_after_.count()));
        if (verdict.admitted()) {
            open.push_back(customer);
        }
        if (open.size() > 10) {
            release(state, open.front(), "sales");
            open.pop_front();
        }
    }
}

void run_quarantine(signature& signature)
{
    random_source random{FLAGS_seed};
    admission::quarantine quarantine;
    time_point now = start;
    for (std::uint64_t step = 0; step < FLAGS_steps; ++step) {
        now += milliseconds{1};
        const admission::fingerprint request = uniform_below(random, 5000);
        const std::string target = "10.0.0." + std::to_string(uniform_below(random, 20));
        const bool is_refused = is_quarantined(quarantine, request, now);
        mix(signature, is_refused ? 1ULL : 0ULL);
        if (is_refused) {
            continue;
        }
        on_request_sent(quarantine, request, target, now);
        if (uniform_below(random, 200) == 0) {
            mix(signature, on_target_crashed(quarantine, target, now).size());
        }
        const bool finished = uniform_below(random, 10) > 0;
        mix(signature, on_request_ended(quarantine, request, target, finished) ? 1ULL : 0ULL);
    }
}

// Runs one part and prints its time per call.
template<class Part>
void measure(const std::string& name, Part part)
{
    const time_point from = monotonic_now();
    part();
    const auto ns = static_cast<double>((monotonic_now() - from).count());
    fmt::print("{:<28} {:>8.0f} ns per call\n", name, ns / static_cast<double>(FLAGS_steps));
}

bool is_expected(const std::string& signature)
{
    if (FLAGS_check.empty()) {
        return true;
    }
    std::ifstream file{FLAGS_check};
    std::string expected;
    file >> expected;
    if (expected == signature) {
        return true;
    }
    fmt::print(stderr,
               "signature {} differs from {} in {}; a decision has changed: if this is intended, "
               "write the new signature to that file and give the reason in the commit\n",
               signature, expected, FLAGS_check);
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using routing::policy;
    signature all;
    const std::pair<const char*, policy> policies[] = {{"random", policy::random},
                                                       {"round robin", policy::round_robin},
                                                       {"least requests", policy::least_requests},
                                                       {"power of two", policy::power_of_two},
                                                       {"hot-cold", policy::hot_cold},
                                                       {"least wait", policy::least_wait}};
    for (const auto& named : policies) {
        const std::string name = fmt::format("{}, 20 targets", named.first);
        measure(name, [&] { run_routing(all, named.second, 20); });
    }
    measure("least wait, 60 targets", [&] { run_routing(all, policy::least_wait, 60); });
    measure("admission", [&] { run_admission(all); });
    measure("quarantine", [&] { run_quarantine(all); });
    const std::string text = fmt::format("{:016x}", all.hash_);
    fmt::print("signature {}\n", text);
    return is_expected(text) ? 0 : 1;
}
