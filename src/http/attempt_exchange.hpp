#pragma once

// One attempt of a call on one target. Its events are passed to dispatch.

#include "base/clock.hpp"
#include "dispatch/call.hpp"
#include "http/timer_queue.hpp"
#include "http/upstream_exchange.hpp"
#include "routing/target.hpp"
#include "settings/settings.hpp"
#include "telemetry/span.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savoryscale::http {

class connection_pool;
class target_search;
class proxied_call;
class upstream_connection;

// Owned by its call, which sets up its members and ends it.
class attempt_exchange final : public upstream_exchange {
public:
    void on_ready(upstream_connection& connection) override;
    bool on_answer_head(const answer_head& head) override;
    void on_answer_body(std::string_view bytes) override;
    void on_answer_complete() override;
    void on_failed(exchange_failure failure) override;
    void on_drained() override;

private:
    friend class proxied_call;

    // The head of another host's own answer: true if it was dealt with.
    bool on_relay_answer(const answer_head& head);

    proxied_call* call_ = nullptr;
    dispatch::attempt_id id_ = 0;
    routing::target_index target_ = 0;
    connection_pool* pool_ = nullptr;
    upstream_connection* connection_ = nullptr;
    timer_id open_timer_ = 0;
    time_point started_{};
    time_point sent_{};
    duration expected_{}; // latency, when its target was chosen; zero: unknown
    duration latency_{};
    std::optional<routing::load_report> load_;
    std::string request_id_;
    std::string target_name_;                 // address and incarnation, for the quarantine
    std::string instance_;                    // id of the only server that may run it; empty: any
    std::optional<settings::endpoint> relay_; // the host that it is handed to, in place of a target
    std::shared_ptr<target_search> search_;   // the search for its target, while it runs
    answer_head head_;                        // head of its answer
    std::string buffered_body_; // received part of the answer's body that is not forwarded yet
    bool forwarding_ = false;   // forwarding of the answer has begun
    bool is_hedge_ = false;     // runs in parallel with an attempt that has not answered
    telemetry::span_id span_{};
    time_point answered_{}; // when the answer's head arrived
    int status_ = 0;
    bool in_flight_ = false; // counts as in flight at its target
    bool connected_ = false; // its connection is open
};

} // namespace savoryscale::http
