#include "telemetry/metrics.hpp"

#include <string>
#include <string_view>

namespace savoryscale::telemetry {

namespace {

using prometheus::Labels;
using prometheus::Registry;

using counter_family = prometheus::Family<prometheus::Counter>;

// Upper bounds in seconds: narrow buckets around the latency of a lookup, wide ones near deadlines.
const prometheus::Histogram::BucketBoundaries duration_bucket_bounds{
    0.0002, 0.0005, 0.001, 0.0015, 0.002, 0.003, 0.004, 0.006, 0.008, 0.012, 0.016,
    0.024,  0.032,  0.05,  0.1,    0.2,   0.5,   1,     2,     5,     10,    30};

constexpr std::array<std::string_view, 6> request_ends{"answered",   "not_run",   "unknown",
                                                       "broken_off", "malformed", "caller_left"};
constexpr std::array<std::string_view, 7> attempt_ends{"answered", "failed",  "shed",     "broken",
                                                       "crashed",  "timeout", "abandoned"};
constexpr std::array<std::string_view, 4> connection_events{"opened", "reused", "retired",
                                                            "failed"};
constexpr std::array<std::string_view, 6> refusals{"none", "no_lists",    "not_allowed",
                                                   "rate", "concurrency", "overload"};
constexpr std::array<std::string_view, 2> directions{"sent", "received"};
constexpr std::array<std::string_view, 6> operations{"get",    "list",   "create",
                                                     "update", "remove", "watch"};
constexpr std::array<std::string_view, 7> call_statuses{
    "ok", "not_found", "conflict", "not_sent", "unknown", "rejected", "unavailable"};

counter_family& counters(Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name("savoryscale_" + name).Help(help).Register(registry);
}

prometheus::Counter& counter(Registry& registry, const std::string& name, const std::string& help)
{
    return counters(registry, name, help).Add({});
}

prometheus::Family<prometheus::Gauge>& gauges(Registry& registry, const std::string& name,
                                              const std::string& help)
{
    return prometheus::BuildGauge().Name("savoryscale_" + name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(Registry& registry, const std::string& name, const std::string& help)
{
    return gauges(registry, name, help).Add({});
}

prometheus::Histogram& duration_histogram(Registry& registry, const std::string& name,
                                          const std::string& help)
{
    return prometheus::BuildHistogram()
        .Name("savoryscale_" + name)
        .Help(help)
        .Register(registry)
        .Add({}, duration_bucket_bounds);
}

// Adds one counter per enumerator to a family. `names` holds the label values in the enumerators'
// order.
template<class Set, std::size_t size>
Set add_counter_set(counter_family& family, const Labels& common, const std::string& label,
                    const std::array<std::string_view, size>& names)
{
    Set set;
    static_assert(size == std::tuple_size_v<decltype(set.counters_)>);
    for (std::size_t i = 0; i < size; ++i) {
        Labels labels = common;
        labels[label] = names[i];
        set.counters_[i] = &family.Add(labels);
    }
    return set;
}

template<class Set, std::size_t size>
Set register_counter_set(Registry& registry, const std::string& name, const std::string& help,
                         const std::string& label, const std::array<std::string_view, size>& names)
{
    return add_counter_set<Set>(counters(registry, name, help), {}, label, names);
}

decltype(metrics::store_calls_) store_call_counters(Registry& registry)
{
    counter_family& family = counters(registry, "store_calls_total", "Calls on the object API.");
    decltype(metrics::store_calls_) all;
    for (std::size_t i = 0; i < operations.size(); ++i) {
        const Labels operation{{"operation", std::string{operations[i]}}};
        all[i] = add_counter_set<store_status_counters>(family, operation, "status", call_statuses);
    }
    return all;
}

} // namespace

metrics register_metrics(Registry& registry)
{
    return {
        register_counter_set<decltype(metrics::requests_)>(
            registry, "requests_total", "Requests of callers, by how they ended.", "end",
            request_ends),
        duration_histogram(registry, "request_duration_seconds",
                           "Time from a request's head to the end of its answer."),
        gauge(registry, "requests_in_progress", "Requests that have not ended."),
        gauge(registry, "caller_connections", "Open connections of callers."),
        gauge(registry, "caller_memory_bytes", "Memory that callers make the host hold."),
        counter(registry, "callers_given_up_total",
                "Connections closed or refused since they held room without progress."),
        counter(registry, "callers_turned_away_total",
                "New connections closed since all others make progress."),
        register_counter_set<decltype(metrics::attempts_)>(
            registry, "attempts_total", "Attempts on targets, by how they ended.", "end",
            attempt_ends),
        counter(registry, "retries_total", "Attempts that replaced one that had ended."),
        counter(registry, "hedges_total", "Attempts started beside one that had not answered."),
        register_counter_set<decltype(metrics::target_connections_)>(
            registry, "target_connections_total", "What became of connections to targets.", "event",
            connection_events),
        counter(registry, "probes_total", "Load probes sent to targets."),
        counter(registry, "probe_bytes_total", "Bytes of load probes and their answers."),
        gauges(registry, "target_limit", "Requests per second that a target takes in all."),
        gauges(registry, "target_limit_age_seconds", "Time since a target last named its limit."),
        gauges(registry, "target_limit_granted",
               "Requests to a target that were granted to this host in the last second."),
        gauges(registry, "data_centre_emptied_since_seconds",
               "Unix time since which this host holds a data centre as one to be emptied."),
        gauges(registry, "data_centre_emptied_requests",
               "Requests of this host in flight in a data centre that is to be emptied."),
        counter(registry, "limited_requests_total", "Requests refused for the limits of targets."),
        counter(registry, "quarantined_requests_total", "Requests refused for crashing targets."),
        register_counter_set<decltype(metrics::send_refusals_)>(
            registry, "send_refusals_total", "Requests refused before they were sent, by cause.",
            "cause", admission::refusal_cause_names),
        register_counter_set<decltype(metrics::allotment_reports_)>(
            registry, "allotment_reports_total", "Reports of entry hosts on the use of allotments.",
            "direction", directions),
        register_counter_set<decltype(metrics::standings_)>(
            registry, "room_claims_total",
            "Searches for a target, by what their callers may claim.", "standing",
            admission::standing_names),
        gauge(registry, "suspects", "Requests known to have been in flight at a crash."),
        gauge(registry, "services_unreachable", "Services of which this host reaches no target."),
        register_counter_set<decltype(metrics::relayed_requests_)>(
            registry, "relayed_requests_total", "Requests handed from one entry host to another.",
            "direction", directions),
        register_counter_set<decltype(metrics::refusals_)>(registry, "admission_refusals_total",
                                                           "Requests that admission refused.",
                                                           "reason", refusals),
        gauge(registry, "configuration_version", "Version of the configuration in force."),
        gauge(registry, "store_era", "Era of the store; another one after it was restored."),
        register_counter_set<decltype(metrics::peer_bytes_)>(
            registry, "peer_bytes_total", "Bytes exchanged with other entry hosts.", "direction",
            directions),
        store_call_counters(registry),
        counter(registry, "spans_exported_total", "Spans that the collector took."),
        counter(registry, "spans_dropped_total", "Spans lost to a full queue or the collector."),
    };
}

} // namespace savoryscale::telemetry
