#pragma once

// Answers operators' tools over HTTP: /metrics, /ready and /live.

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

// One answer of the admin address.
struct admin_answer {
    int status_ = 200;
    std::string content_type_;
    std::string body_;
};

// What a GET of `path` is answered with.
admin_answer answer_admin(std::string_view path, readiness state,
                          const prometheus::Registry& registry);

// Owns its thread, its sockets and the answers in progress.
class admin_task {
public:
    // Listens on the address; port 0 takes a free one. The registry and the state must outlive the
    // task. Fails when the address cannot be bound.
    static result<std::unique_ptr<admin_task>> start(const settings::endpoint& address,
                                                     const prometheus::Registry& registry,
                                                     const std::atomic<readiness>& state);

    // The port it listens on.
    std::uint16_t port() const { return port_; }

    // Handles one event of libwebsockets; called on the task's thread.
    int handle_event(lws* connection, int reason, const void* data);

private:
    // The rest of a body that is being sent.
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
    lws_thread thread_; // last, so that it ends before what it uses
};

} // namespace savoryscale::telemetry
