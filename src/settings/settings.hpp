#pragma once

// Settings of one process: its location, the addresses it listens on, and the systems it connects
// to. They are read once at start; operators change the two lists (plans/) while the process runs.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryscale::settings {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// An IP address and a port. Host names are never resolved.
struct endpoint {
    std::string ip_;
    std::uint16_t port_ = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

// "ip:port".
std::string to_string(const endpoint& address);

// File names of the certificate and the key of a TLS listener, both in PEM format.
struct tls_identity {
    std::string certificate_file_;
    std::string key_file_;
};

// Identity and location of this host.
struct host {
    std::string id_;          // unique among hosts; "/host/id"
    std::string data_centre_; // "/host/data_centre"
    std::string region_;      // "/host/region"
    std::uint32_t hosts_max_ =
        24; // maximum number of entry hosts at any time; every fleet-wide total is divided by it
    std::uint32_t memory_mb_ = 0; // that the process may use; 0: not known
};

// The listener that callers connect to.
struct listener {
    endpoint address_;
    std::optional<tls_identity> tls_;
    std::uint32_t max_connections_ = 4096;
    std::uint32_t max_header_bytes_ = 16384;
    std::uint32_t body_memory_mb_ = 0; // for all that callers make the host hold; 0: derived
    milliseconds idle_timeout_{60000}; // closes a connection that has had no request for this long
    milliseconds header_timeout_{
        10000};                   // from the first byte of a request to the end of its header
    milliseconds stop_lag_{3000}; // how long to keep accepting after readiness fails
    seconds grace_{0};            // time from a stop request to the forced exit; 0: never forced
    bool fractional_retry_after_ = false; // callers accept fractions of seconds in Retry-After
    // Callers treat the statuses 408, 421, 429 and 503 as proof that their request has not run.
    bool refusals_prove_not_run_ = false;
};

// The exchange between entry hosts. CURVE keys are Z85, 40 characters.
struct peer_exchange {
    endpoint address_;
    std::string public_key_;
    std::string secret_key_;
    std::vector<std::string> trusted_keys_; // public keys of peers; empty: own key only
    std::vector<endpoint> seeds_;           // peers to try before the host list is known
};

// The platform's object API and host list.
struct platform {
    std::vector<endpoint> object_api_;
    std::vector<endpoint> host_list_;
    milliseconds call_timeout_{1000};
    std::uint32_t calls_per_second_ = 20; // limit for this host, all kinds of calls together
};

// One target named in the settings. Targets of the host list are added to these.
struct static_target {
    endpoint address_;
    std::string data_centre_;
};

// How requests to one service of the upstreams are handled.
struct service {
    std::string name_;
    std::string path_prefix_; // this service gets the requests whose path starts with it
    std::vector<static_target> targets_;
    bool tls_ = false; // use TLS for connections to its targets
    std::vector<std::string> repeatable_methods_{"GET", "HEAD", "OPTIONS"};
    std::vector<int> not_run_statuses_;     // upstream statuses that prove a request did not run
    std::string not_run_header_;            // header whose presence proves the same
    milliseconds deadline_{5000};           // default when the caller sends none, and maximum
    milliseconds body_idle_timeout_{30000}; // aborts a body that makes no progress for this long
    std::uint32_t slots_per_target_ = 2;
    std::uint32_t connections_per_target_ = 200;   // all entry hosts together
    std::uint32_t probes_per_second_ = 100;        // all entry hosts together; 0: never probe
    std::uint32_t probe_bytes_per_second_ = 50000; // all entry hosts together
    std::string probe_path_ = "/load";
    milliseconds cold_start_{2000};
    double retry_ratio_ = 0.1;          // maximum extra attempts per first attempt
    std::string policy_ = "least_wait"; // how a target is chosen; see routing/policy.hpp
    bool hedge_ = true;                 // repeatable requests only
};

// Names of the header fields that callers, entry hosts and targets exchange. A field with an empty
// name is not used.
struct header_names {
    std::string request_id_ = "Savoryscale-Request-Id"; // echoed in responses
    bool caller_sets_request_id_ = false;               // false: this host sets one per attempt
    std::string deadline_ = "X-Deadline-Ms";            // remaining time in milliseconds
    std::string seal_; // set by targets; a success without it did not come from the target
    std::string expect_instance_; // sent to a target: the only instance that may run the request
    std::string instance_;        // in the response to a probe: the target's id
    std::string load_;            // "running,waiting,slots[,percent of the usual time]"
    // Carries a caller's key as "SCHEME KEY". Used where the desired state lists organisations.
    std::string key_ = "Authorization";
    std::string key_scheme_ = "Token";
    std::string organisation_; // sent to a target: the organisation whose caller sent the request
    std::string warm_up_; // in the response to a probe: milliseconds that the target stays cold
    // Requests per second that a target takes from all hosts together. Used with a directory only.
    std::string limit_;
};

// The listener for readiness checks and metrics of a host that follows a directory.
struct readiness_listener {
    endpoint address_;
    std::string path_ = "/ready";
    std::string metrics_path_ = "/metrics";
};

// How entry hosts pass on to each other what one of them has read from the store.
struct directory_feed {
    endpoint address_;            // where this host serves its feed to other hosts
    std::vector<endpoint> hosts_; // hosts to read the feed from; may include this host
    // How long a starting host waits for another host's first message before it asks the store.
    milliseconds patience_{30};
    // Where this host takes requests of hosts that reach no target of a service; callers must not
    // reach it. None: such requests are neither taken nor handed on.
    std::optional<endpoint> relay_;
};

// How far the allotment of an organisation may be exceeded by all hosts together: in any `window_`,
// by the part `overage_` of what it allows and `slack_` requests.
struct allotment_bounds {
    seconds window_{5};
    double overage_ = 0;
    double slack_ = 0; // requests
};

// How far the rate that a cold target bears may be exceeded by all hosts together, in any second.
struct cold_bounds {
    double overage_ = 1; // factor
    double slack_ = 0;   // requests
};

// Routes, services and targets come from a store that entry hosts follow.
struct directory {
    endpoint store_;
    std::optional<directory_feed> feed_; // none: this host reads only from the store
    seconds drain_{2}; // a leaving target gets no new requests after at most this time
    // A data centre that is to be emptied gets no new requests after this time; 0: not followed.
    seconds evacuation_{0};
    // Callers are refused when this host's list of keys is older than this; 0: never.
    seconds keys_age_max_{0};
    allotment_bounds allotments_;
    cold_bounds cold_;
    double retry_ratio_ = 0.2;          // extra attempts per request, all hosts together
    double retry_slack_ = 50;           // extra attempts beyond that, all hosts together
    double probes_per_target_ = 40;     // probes per second and target, all hosts together
    std::uint32_t subset_targets_ = 48; // targets of a service that this host uses; 0: all
    service service_;                   // service settings that routes and targets do not define
};

// Export of trace spans.
struct tracing {
    std::optional<endpoint> collector_; // OTLP/JSON over HTTP; none: spans are not recorded
    double sample_ratio_ = 0.01;
    std::uint32_t queue_spans_ = 4096;
};

// How state changes are logged.
struct logging {
    bool json_ = true;                     // JSON lines; false: plain text
    std::string level_ = "info";           // debug, info, warning, error
    std::uint32_t lines_per_second_ = 500; // lines above this rate are dropped and counted
};

struct settings;

// Bytes for all that callers make the host hold: as set, else by the memory of the host.
std::size_t caller_memory_bytes(const settings& config);

// All settings of one process.
struct settings {
    host host_;
    listener listen_;
    std::optional<endpoint> admin_; // metrics, /ready, /live
    std::optional<peer_exchange> peer_;
    platform platform_;
    std::vector<service> services_;
    std::optional<directory> directory_; // replaces platform_ and services_
    std::optional<readiness_listener> ready_;
    header_names header_names_;
    tracing tracing_;
    logging logging_;
    std::string customer_header_ = "X-Customer"; // header that names the customer of a request
};

} // namespace savoryscale::settings
