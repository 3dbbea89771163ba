#pragma once

// The HTTP task: accepts connections of callers, proxies their calls, and keeps the connections to
// targets. Everything but post() and the constructor must run on its event loop's thread.

#include "admission/admission.hpp"
#include "admission/body_memory.hpp"
#include "admission/holder.hpp"
#include "admission/quarantine.hpp"
#include "admission/recent_runs.hpp"
#include "base/error.hpp"
#include "base/mailbox.hpp"
#include "base/random.hpp"
#include "dispatch/call.hpp"
#include "dispatch/stop_schedule.hpp"
#include "http/allotment_reports.hpp"
#include "http/event_loop.hpp"
#include "http/limit_grants.hpp"
#include "http/page_server.hpp"
#include "http/relay_hosts.hpp"
#include "http/service_state.hpp"
#include "http/suspicion_reports.hpp"
#include "peer/fact.hpp"
#include "plans/lists.hpp"
#include "routes/split.hpp"
#include "routes/table.hpp"
#include "routing/target.hpp"
#include "settings/settings.hpp"
#include "store/object_api.hpp"
#include "telemetry/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savoryscale::telemetry {
class span_queue;
struct span;
} // namespace savoryscale::telemetry

namespace savoryscale::http {

class caller_connection;
class probe_exchange;
class proxied_call;
class buffered_exchange;
struct buffered_answer;
struct answer_head;

// Events that the HTTP task reports to other tasks. Called on its thread; each handler posts to a
// mailbox.
struct http_task_events {
    std::function<void(std::string_view service, const settings::endpoint& target,
                       std::uint64_t incarnation)>
        on_target_draining_;
    std::function<void(peer::fact)> on_suspicion_;
    std::function<void()> on_stopped_; // the last caller connection is closed
    // Starts a call on the object API; the reply is posted back. Empty: there is no object API.
    std::function<void(store::object_call)> on_object_call_;
    std::function<void()> on_tick_;          // once a second
    telemetry::span_queue* spans_ = nullptr; // null: spans are dropped
};

// The metrics of one target's limit.
struct limit_gauges {
    prometheus::Gauge* per_second_ = nullptr;
    prometheus::Gauge* age_ = nullptr;
    prometheus::Gauge* granted_ = nullptr;
};

// The metrics of one data centre that is to be emptied.
struct emptied_gauges {
    prometheus::Gauge* since_ = nullptr;
    prometheus::Gauge* requests_ = nullptr;
};

// How an attempt that was sent ended.
enum class upstream_end : std::uint8_t {
    completed,  // the target ran the request and answered
    unanswered, // no answer arrived
    other,      // cancelled, refused, or answered with an error
};

// What a check of a target that broke a connection has shown.
enum class crash_verdict : std::uint8_t {
    alive,
    crashed,
    cut_off, // this host reaches no target
};

class http_task {
public:
    http_task(event_loop& loop, const settings::settings& config, const telemetry::metrics& metrics,
              std::uint64_t seed, http_task_events events);
    ~http_task();
    http_task(const http_task&) = delete;
    http_task& operator=(const http_task&) = delete;
    http_task(http_task&&) = delete;
    http_task& operator=(http_task&&) = delete;

    // Starts to listen; returns the actual port.
    result<std::uint16_t> open();

    // Runs `action` on this task's thread. Thread-safe.
    void post(std::function<void(http_task&)> action);

    // Runs the posted actions. The loop's owner calls it at each wake-up.
    void run_posted();

    // Applies a desired state, unless its version is not newer than the current one. Services that
    // it does not name are kept for the requests in progress.
    void set_desired_state(routes::desired_state state);

    // Tells when the store last confirmed the desired state.
    void set_confirmed_at(std::function<std::optional<time_point>()> confirmed_at)
    {
        confirmed_at_ = std::move(confirmed_at);
    }

    // Whether the list of keys is too old to rely on; see settings::directory::keys_age_max_.
    [[nodiscard]] bool has_outdated_keys() const;

    // Updates from the control plane or the directory: the two lists, targets, shares, suspicions.
    void set_lists(const plans::lists& lists);
    void set_targets(std::string_view service, std::vector<routing::target_info> targets);
    // The data centres whose targets get no new requests, sorted.
    void set_emptied(std::vector<std::string> data_centres);
    // This host's share of "probes/SERVICE" or "probe_bytes/SERVICE": `amount` per second until
    // `until`, then `later`.
    void set_share(const std::string& resource, double amount, time_point until, double later);
    // Returns whether anything changed.
    bool merge_suspicion(const peer::fact& suspicion);

    // Suspicions from another host of the directory. Returns the requests for which anything
    // changed; the hosts that read from this one have been told of them.
    std::vector<admission::fingerprint> receive_suspicions(std::span<const peer::fact> suspicions);

    // The hosts that serve others with the directory, with grants, allotments and suspicions.
    void set_feed_hosts(std::span<const settings::endpoint> hosts);

    // Answers another host's request for a grant, or its report of allotments or suspicions.
    page answer_peer(std::string_view path);

    // Stops gracefully: keeps accepting for stop_lag_, until the balancer in front has noticed, and
    // answers with Connection: close; then closes idle connections and waits for the busy ones.
    // on_stopped_ follows.
    void begin_stop(std::optional<time_point> ends_at = std::nullopt);

    // Number of the service's targets that may take requests; 0 for an unknown service.
    [[nodiscard]] std::size_t target_count(std::string_view service);
    // Null for an unknown service.
    [[nodiscard]] const service_state* known_service(std::string_view name) const;
    [[nodiscard]] std::size_t callers() const { return callers_.size(); }

    // For caller connections and their calls.
    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] const settings::settings& config() const { return config_; }
    [[nodiscard]] bool is_stopping() const { return stopping_; }

    // When a planned stop ends the process; none: there is no such time.
    [[nodiscard]] const std::optional<dispatch::stop_schedule>& stop_schedule() const
    {
        return stop_schedule_;
    }
    [[nodiscard]] bool closes_idle_callers() const { return stop_lag_over_; }
    [[nodiscard]] random_source& random() { return random_; }
    [[nodiscard]] admission::quarantine& request_quarantine() { return quarantine_; }
    // Routes of the current desired state; null before the first one.
    [[nodiscard]] const std::shared_ptr<const routes::table>& routes() const { return routes_; }
    [[nodiscard]] const routes::request_limits& limits() const { return limits_; }
    // Chooses the service for the next request of the route, by the route's traffic split.
    service_state& service_of(const routes::route& chosen);
    // Receives the load that a probe reported, and whether the target can take requests.
    using probe_function =
        std::function<void(const std::optional<routing::load_report>& load, bool usable)>;
    void limit_extra_attempts(service_state& service);
    // Probes the target once, outside the share of background probes.
    void probe_for_search(service_state& service, routing::target_index target,
                          const probe_function& done);
    admission::verdict admit(std::string_view customer, const service_state& service);
    void release(std::string_view customer, const service_state& service);
    connection_pool& pool_of(service_state& service, routing::target_index target);
    const std::string& target_name(service_state& service, routing::target_index target);
    // Memory that callers make the host hold, as known; measured recently.
    [[nodiscard]] const admission::body_memory& body_memory() const { return body_memory_; }
    const admission::body_memory& measured_body_memory();
    // Changes the account by what one connection holds, and whether it must end by itself.
    void change_held(std::size_t before, std::size_t after);
    [[nodiscard]] bool must_give_way(std::size_t held) const;
    // For the body bytes of the read in progress.
    [[nodiscard]] std::string& read_buffer() { return read_buffer_; }
    // Bytes that one body may occupy now, out of the usual limit.
    std::size_t body_limit(std::size_t usual);
    // When an answer of a target, to a probe or a request, was last received.
    [[nodiscard]] time_point heard_at() const { return heard_at_; }
    void on_target_heard(service_state& service);
    // A search for a target of the service ended without an answer of any.
    void on_targets_silent(service_state& service);
    std::string next_request_id();
    duration retry_after(std::optional<duration> expected);
    void on_target_draining(service_state& service, routing::target_index target);
    // Call for each answer that comes from the target itself.
    void on_limit_field(service_state& service, routing::target_index target,
                        const answer_head& head, routing::limit_source source);
    // Call for each answer to a probe.
    void on_warm_up_field(service_state& service, routing::target_index target,
                          const answer_head& head);
    [[nodiscard]] limit_grants& grants() { return grants_; }
    [[nodiscard]] allotment_reports& allotments() { return allotments_; }
    [[nodiscard]] relay_hosts& relays() { return relay_hosts_; }
    // Services of which no target answers this host.
    [[nodiscard]] std::vector<directory::service_hash> unreached_services() const;
    // Counts a request of another host; false: there are too many.
    bool begin_relayed_call();
    void end_relayed_call() { --relayed_calls_; }
    // Requests of other hosts that were taken so far.
    [[nodiscard]] std::size_t relayed_calls_total() const { return relayed_calls_total_; }
    [[nodiscard]] class suspicion_reports& suspicion_reports() { return suspicion_reports_; }
    // The limit that the target named last; null: none. Valid until the next answer.
    static const routing::target_limit* limit_of(const service_state& service,
                                                 routing::target_index target);
    void on_connection_refused(service_state& service, routing::target_index target);
    void on_connection_broken(service_state& service, routing::target_index target,
                              const admission::request_fingerprints& request);
    void on_upstream_request_sent(const admission::request_fingerprints& request,
                                  std::string_view target);
    void on_upstream_request_ended(const admission::request_fingerprints& request,
                                   std::string_view target, upstream_end end);
    // Whether the request is refused, as this caller's or for its content; for how long at least.
    [[nodiscard]] bool is_quarantined(const admission::request_fingerprints& request) const;
    [[nodiscard]] duration refusal_left(const admission::request_fingerprints& request) const;
    // Whether it is known why the request's connection to the target broke.
    [[nodiscard]] bool is_crash_checked(const service_state& service, routing::target_index target,
                                        const admission::request_fingerprints& request) const;
    // Submits a call to the object API and returns its id. The reply goes to on_claim_reply of
    // `requester`, unless ignore_object_reply was called with the id before. Null `requester`: the
    // reply is ignored.
    std::uint64_t submit(store::object_call call, proxied_call* requester);
    void ignore_object_reply(std::uint64_t call_id) { object_call_waiters_.erase(call_id); }
    [[nodiscard]] bool has_peers() const { return events_.on_suspicion_ != nullptr; }
    [[nodiscard]] bool has_object_api() const { return events_.on_object_call_ != nullptr; }
    void record(telemetry::span finished);
    void remove_caller(caller_connection& closed);
    void resume_later(caller_connection& caller);
    [[nodiscard]] const telemetry::metrics& metrics() const { return metrics_; }

private:
    // Targets to which this host tries to open connections.
    struct witness_choice {
        std::vector<connection_pool*> pools_;
        bool others_broken_ = false; // there are others, which broke connections as well
    };

    accept_function accept_callers(bool are_hosts);
    target_connections& connections_of(service_state& service, routing::target_index target);
    service_state* find_service(std::string_view name);
    service_state& add_service(settings::service config);
    // Adds a service named by the directory, with the settings that all such services share.
    service_state& add_directory_service(const std::string& name, std::uint32_t connections);
    void on_probe_answer(service_state& service, routing::target_index target, time_point sent_at,
                         const buffered_answer& answer, const probe_function& done);
    void apply_targets(service_state& service);
    void on_crash_checked(service_state& service, routing::target_index target, bool accepts);
    void ask_witnesses(service_state& service, routing::target_index target);
    witness_choice choose_witnesses(const service_state& service, routing::target_index target);
    void end_crash_check(service_state& service, routing::target_index target,
                         crash_verdict verdict);
    void on_target_replaced(const target_connections& before);
    void raise_suspicions(const std::vector<admission::fingerprint>& requests);
    void publish_suspicions(const std::vector<admission::fingerprint>& requests);
    void share_suspicion(admission::fingerprint request);
    [[nodiscard]] std::string known_suspicions() const;
    void tick();
    void probe_targets();
    void report_load_to_admission();
    void probe(service_state& service, routing::target_index target);
    void apply_share(std::string_view resource, double amount);
    void apply_probe_share(service_state& service);
    void publish(const pool_counters& counted);
    void publish_limits();
    void publish_emptied();
    void set_cold(service_state& service, const routes::routed_service& named);
    [[nodiscard]] std::vector<std::string> emptied_names() const;
    void make_room_for_caller();
    void plan_relief();
    void relieve_memory();
    [[nodiscard]] std::vector<admission::holder> holders(std::vector<caller_connection*>& at) const;
    void end_idle_callers();
    void follow_stop_schedule();
    [[nodiscard]] std::vector<caller_connection*> all_callers() const;
    void check_stopped();

    event_loop& loop_;
    const settings::settings& config_;
    http_task_events events_;
    random_source random_;
    const telemetry::metrics& metrics_;
    std::vector<std::unique_ptr<service_state>> services_;
    std::shared_ptr<const routes::table> routes_;
    std::function<std::optional<time_point>()> confirmed_at_;
    routes::request_limits limits_;
    std::unordered_map<std::string, routes::split_state> splits_; // by route
    admission::state admission_;
    admission::quarantine quarantine_;
    admission::recent_runs recent_runs_; // of content
    admission::body_memory body_memory_;
    bool relief_due_ = false;
    std::string read_buffer_;
    mailbox<std::function<void(http_task&)>> inbox_;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> callers_;
    std::string request_id_prefix_;
    std::uint64_t last_request_ = 0;
    std::unordered_map<std::string, timer_id> share_timers_; // end of each share, by resource
    std::unordered_map<std::uint64_t, proxied_call*> object_call_waiters_;
    std::uint64_t last_object_call_id_ = 0;
    std::unordered_map<probe_exchange*, std::unique_ptr<probe_exchange>> probes_;
    std::unordered_map<buffered_exchange*, std::unique_ptr<buffered_exchange>> search_probes_;
    time_point heard_at_{};
    time_point invalid_limit_logged_at_{};
    std::map<std::string, limit_gauges> limit_gauges_; // by address of the target
    std::map<std::string, emptied_gauges> emptied_;    // by data centre
    limit_grants grants_;
    allotment_reports allotments_;
    class suspicion_reports suspicion_reports_;
    bool serves_hosts_ = false; // other hosts read from this one
    relay_hosts relay_hosts_;
    std::size_t relayed_calls_ = 0; // in progress, for other hosts
    std::size_t relayed_calls_total_ = 0;
    bool stopping_ = false;
    std::optional<dispatch::stop_schedule> stop_schedule_;
    bool stop_lag_over_ = false;
};

} // namespace savoryscale::http
