// Measures the size of the stored configuration and the times to print, parse and change it, by
// number of customers.

#include "plans/change.hpp"
#include "plans/configuration.hpp"
#include "plans/edited_file.hpp"

#include <fmt/format.h>

#include <chrono>
#include <initializer_list>

namespace {

using namespace savoryscale;

constexpr std::int64_t change_time_ms = 1764826000000;
constexpr std::uint64_t list_version = 900'000; // after a year with 2,500 changes a day

constexpr int plan_count = 20;
constexpr int services_per_plan = 3;

// Makes lists with the given numbers of customers, spread over twenty plans, and of removed
// customers.
plans::configuration make_lists(int customers, int removals)
{
    plans::configuration made;
    const plans::stamp set{list_version, change_time_ms};
    made.lists_.version_ = list_version;
    for (int i = 0; i < plan_count; ++i) {
        plans::plan plan{fmt::format("plan-{:04}", i), {}, set};
        for (int j = 0; j < services_per_plan; ++j) {
            plan.allowances_.push_back(
                {fmt::format("service-{:03}", j), 40, 80, 8, plans::priority::normal});
        }
        made.lists_.plans_.push_back(std::move(plan));
    }
    for (int i = 0; i < customers; ++i) {
        made.lists_.customers_.push_back(
            {fmt::format("customer-{:08}", i), fmt::format("plan-{:04}", i % plan_count), set});
    }
    for (int i = 0; i < removals; ++i) {
        made.removed_.push_back(
            {{plans::list_kind::customers, fmt::format("removed-{:08}", i)}, set});
    }
    for (std::size_t i = 0; i < plans::max_recent_changes; ++i) {
        made.recent_.push_back({i * UINT64_C(0x0123456789abcdef), list_version - i});
    }
    return made;
}

template<class Work>
double elapsed_ms(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

void measure(int customers, int removals)
{
    const plans::configuration stored = make_lists(customers, removals);
    std::string text;
    const double print_ms = elapsed_ms([&] { text = plans::print(stored); });
    const double parse_ms = elapsed_ms([&] { (void)plans::parse_configuration(text, "stored"); });
    auto file = plans::parse_edited_file(plans::print_edited_file(stored), "file");
    file->lists_.customers_.front().plan_ = "plan-0001";
    const double apply_ms =
        elapsed_ms([&] { (void)plans::apply_change(stored, *file, change_time_ms); });
    fmt::print("{:9} {:9} {:9} {:9.2f} {:9.2f} {:9.2f}\n", customers, removals, text.size(),
               print_ms, parse_ms, apply_ms);
}

} // namespace

int main()
{
    fmt::print("{:>9} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "customers", "removals", "bytes",
               "print ms", "parse ms", "apply ms");
    for (const int customers : {100, 1000, 5000, 10000}) {
        measure(customers, 0);
    }
    measure(1000, static_cast<int>(plans::max_tombstones));
    return 0;
}
