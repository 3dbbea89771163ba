// The part of the HTTP task that keeps room for callers which make progress: it closes connections
// that hold descriptors or memory without any.

#include "admission/holder.hpp"
#include "http/caller_connection.hpp"
#include "http/http_task.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace savoryscale::http {

namespace {

// Part of all connections that is freed at once when none is left, so that a crowd which connects
// again and again costs one look at all connections for many of its own.
constexpr std::size_t freed_fraction = 64;

// Between two looks at all connections while memory is short.
constexpr duration relief_interval = std::chrono::milliseconds{10};

} // namespace

std::vector<admission::holder> http_task::holders(std::vector<caller_connection*>& at) const
{
    std::vector<admission::holder> all;
    for (const auto& [caller, owned] : callers_) {
        all.push_back({at.size(), caller->phase(), caller->held_bytes(), caller->progress_at()});
        at.push_back(caller);
    }
    return all;
}

void http_task::make_room_for_caller()
{
    std::vector<caller_connection*> callers;
    const auto all = holders(callers);
    const std::size_t count =
        std::max<std::size_t>(config_.listen_.max_connections_ / freed_fraction, 1);
    const auto chosen = admission::choose_for_connections(all, count, loop_.now());
    telemetry::decided(
        "connections_short", "",
        {{"open", std::to_string(callers.size())}, {"closed", std::to_string(chosen.size())}});
    for (const std::size_t index : chosen) {
        callers[index]->give_way();
    }
}

void http_task::change_held(std::size_t before, std::size_t after)
{
    body_memory_.held_ -= std::min(body_memory_.held_, before);
    body_memory_.held_ += after;
    if (after > before) {
        plan_relief();
    }
}

// Deferred, since the connections to close may be on the stack when memory turns short.
void http_task::plan_relief()
{
    if (!relief_due_ && !admission::is_plentiful(body_memory_)) {
        relief_due_ = true;
        const bool at_once = admission::is_exhausted(body_memory_);
        loop_.after(at_once ? duration::zero() : relief_interval, [this] { relieve_memory(); });
    }
}

bool http_task::must_give_way(std::size_t held) const
{
    return admission::gives_way(body_memory_, held);
}

void http_task::relieve_memory()
{
    body_memory_.measured_at_ = {};
    const admission::body_memory& memory = measured_body_memory();
    relief_due_ = false;
    while (!admission::is_plentiful(memory) && loop_.end_oldest_finishing(true)) {
        body_memory_.measured_at_ = {};
        measured_body_memory();
    }
    std::vector<caller_connection*> callers;
    const auto chosen = admission::choose_for_memory(holders(callers), memory, loop_.now());
    if (chosen.empty()) {
        return;
    }
    telemetry::decided("memory_short", "",
                       {{"held_bytes", std::to_string(memory.held_)},
                        {"max_bytes", std::to_string(memory.max_)},
                        {"callers", std::to_string(callers.size())},
                        {"closed", std::to_string(chosen.size())}});
    for (const std::size_t index : chosen) {
        callers[index]->give_way();
    }
}

} // namespace savoryscale::http
