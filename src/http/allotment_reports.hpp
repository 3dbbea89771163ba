#pragma once

// Reports the use of allotments to a host that grants, asks it for requests of organisations that
// are near their limit, and answers the reports of other hosts; see organisations/allotment.hpp.

#include "base/clock.hpp"
#include "base/random.hpp"
#include "http/page_server.hpp"
#include "http/timer_queue.hpp"
#include "organisations/allotment_granter.hpp"
#include "organisations/allotment_use.hpp"
#include "settings/settings.hpp"
#include "telemetry/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savoryscale::http {

class buffered_exchange;
class connection_pool;
class event_loop;
struct buffered_answer;

class allotment_reports {
public:
    using decided_function = std::function<void(const organisations::use_decision&)>;

    allotment_reports(event_loop& loop, random_source& random, const settings::settings& config,
                      const telemetry::metrics& metrics);
    ~allotment_reports();
    allotment_reports(const allotment_reports&) = delete;
    allotment_reports& operator=(const allotment_reports&) = delete;
    allotment_reports(allotment_reports&&) = delete;
    allotment_reports& operator=(allotment_reports&&) = delete;

    // Sets the hosts that may grant. All hosts ask the first one of them that answers. Without
    // such hosts this host grants to itself, one `hosts_max`-th of each allotment.
    void set_granters(std::span<const settings::endpoint> hosts, const settings::endpoint& own);
    void set_alone(std::uint32_t hosts_max);

    // Adopts the allotments of a desired state. Nothing is reported while there is no allotment.
    void set_allotments(std::span<const organisations::organisation> all);

    // Passes the decision on a request of the organisation to `decided`, possibly before this
    // returns. Returns an id for cancel(); 0 if `decided` has been called.
    std::uint64_t check(const organisations::organisation& caller, decided_function decided);
    void cancel(std::uint64_t id);

    // A request that passed did not run.
    void give_back(const organisations::organisation& caller);

    // Answers another host's report.
    page answer(std::string_view path);

    void close_aged(time_point now);

private:
    struct granter {
        settings::endpoint address_;
        std::unique_ptr<connection_pool> pool_; // null: this host
        time_point unreachable_until_{};
        std::uint32_t failures_ = 0; // consecutive
    };
    struct waiting_request {
        std::uint64_t id_ = 0;
        organisations::name_hash organisation_ = 0;
        organisations::allotment limit_;
        decided_function decided_;
    };

    void decide(const waiting_request& request, organisations::use_decision decided);
    void clear_granters();
    [[nodiscard]] granter* next_granter();
    void arm();
    void on_report_due();
    void send();
    void on_exchange_ended(granter& asked, const buffered_answer& answer);
    void on_answer(const organisations::use_answer& answer);
    void resolve(std::list<waiting_request> requests, const organisations::use_answer& answer);
    void resolve_alone(const std::list<waiting_request>& requests);

    event_loop& loop_;
    random_source& random_;
    const telemetry::metrics& metrics_;
    organisations::name_hash own_name_;
    organisations::allotment_granter granter_;
    organisations::allotment_use use_;
    std::vector<std::unique_ptr<granter>> granters_; // in the order in which they are asked
    const granter* last_answered_ = nullptr;
    std::unique_ptr<buffered_exchange> exchange_;
    std::list<waiting_request> waiting_;
    std::list<waiting_request> asked_; // in the report that is under way
    std::uint64_t last_id_ = 0;
    timer_id timer_ = 0;
    bool has_allotments_ = false;
};

} // namespace savoryscale::http
