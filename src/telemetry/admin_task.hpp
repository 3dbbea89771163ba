#pragma once

// HTTP server for operators' tools: /metrics, /ready and /live.

#include "base/error.hpp"
#include "settings/settings.hpp"
#include "telemetry/lws_thread.hpp"
#include "telemetry/readiness.hpp"

#include <prometheus/registry.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct lws;

namespace savoryscale::telemetry {

// One answer of the admin server.
struct admin_answer {
    int status_ = 200;
    std::string content_type_;
    std::string body_;
};

// Returns the answer to a GET of `path`.
admin_answer answer_admin(std::string_view path, readiness state,
                          const prometheus::Registry& registry);

// Owns its thread, its sockets and the answers in progress.
class admin_task {
public:
    // Listens on the address; port 0 selects a free port. The registry and the state must outlive
    // the task. Fails if the address cannot be bound.
    static result<std::unique_ptr<admin_task>> start(const settings::endpoint& address,
                                                     const prometheus::Registry& registry,
                                                     const std::atomic<readiness>& state);

    std::uint16_t port() const { return port_; }

    // Handles one libwebsockets event; called on the task's thread.
    int handle_event(lws* connection, int reason, const void* data);

private:
    // A body that is being sent.
    struct body_in_progress {
        std::string text_;
        std::size_t sent_ = 0;
    };

    admin_task(const prometheus::Registry& registry, const std::atomic<readiness>& state)
        : registry_{registry}, state_{state}
    {
    }

    int begin_answer(lws* connection, std::string_view path);
    int continue_answer(lws* connection);

    const prometheus::Registry& registry_;
    const std::atomic<readiness>& state_;
    std::unordered_map<lws*, body_in_progress> answers_;
    std::uint16_t port_ = 0;
    lws_thread thread_; // declared last: its thread uses the members above
};

} // namespace savoryscale::telemetry
