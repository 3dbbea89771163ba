// The part of the HTTP task that probes targets: in the background, within this host's share, and
// for target searches.

#include "http/buffered_exchange.hpp"
#include "http/http_task.hpp"
#include "http/load_fields.hpp"
#include "http/log_fields.hpp"
#include "http/probe_exchange.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

constexpr duration probe_interval = 25ms;

// A target that has not answered a probe by then is ejected for a while.
constexpr duration probe_timeout = 250ms;
constexpr std::size_t probe_answer_max = 4096;

constexpr int status_ok = 200;

} // namespace

// Starts the probes that are due.
void http_task::probe_targets()
{
    if (!stopping_) {
        for (auto& service : services_) {
            while (const auto target = routing::next_probe(service->view_, loop_.now(), random_)) {
                probe(*service, *target);
            }
        }
    }
    loop_.after(probe_interval, [this] { probe_targets(); });
}

void http_task::probe(service_state& service, routing::target_index target)
{
    metrics_.probes_.Increment();
    auto owned = std::make_unique<probe_exchange>(loop_, service.config_.probe_path_);
    probe_exchange* started = owned.get();
    started->set_done_callback([this, &service, target, started](auto load, std::size_t bytes) {
        metrics_.probe_bytes_.Increment(static_cast<double>(bytes));
        routing::on_probe_ended(service.view_, target, load, loop_.now());
        if (load && load->draining_) {
            on_target_draining(service, target);
        }
        const auto found = probes_.find(started);
        loop_.destroy_later(std::move(found->second));
        probes_.erase(found);
    });
    probes_.emplace(started, std::move(owned));
    if (!started->start(pool_of(service, target))) {
        routing::on_probe_ended(service.view_, target, std::nullopt, loop_.now());
        probes_.erase(started);
    }
}

// Limits this host's extra attempts to its part of the slack, so that all hosts together stay
// within the slack in any time window.
void http_task::limit_extra_attempts(service_state& service)
{
    routing::retry_budget& budget = service.view_.retries_;
    budget.extra_max_ = routing::extra_attempts_max(
        service.placement_budget_, config_.directory_->retry_slack_, service.target_count_);
    budget.hedge_reserve_ = budget.extra_max_ / 3;
    budget.extra_ = std::min(budget.extra_, budget.extra_max_);
}

void http_task::probe_for_search(service_state& service, routing::target_index target,
                                 const probe_function& done)
{
    metrics_.probes_.Increment();
    const settings::endpoint& address = routing::address_of(service.view_, target);
    auto owned = std::make_unique<buffered_exchange>(
        loop_,
        fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\n\r\n", service.config_.probe_path_,
                    address.ip_, address.port_),
        probe_answer_max);
    buffered_exchange* started = owned.get();
    search_probes_.emplace(started, std::move(owned));
    const time_point sent_at = loop_.now();
    const bool began = started->start(
        pool_of(service, target), probe_timeout,
        [this, &service, target, started, sent_at, done](const buffered_answer& answer) {
            const auto found = search_probes_.find(started);
            loop_.destroy_later(std::move(found->second));
            search_probes_.erase(found);
            on_probe_answer(service, target, sent_at, answer, done);
        });
    if (!began) {
        search_probes_.erase(started);
        done(std::nullopt, false);
    }
}

void http_task::on_probe_answer(service_state& service, routing::target_index target,
                                time_point sent_at, const buffered_answer& answer,
                                const probe_function& done)
{
    const settings::header_names& names = config_.header_names_;
    const routing::target_info& info = service.view_.targets_[target].info_;
    const std::string_view instance =
        names.instance_.empty() ? std::string_view{} : find_field(answer.head_, names.instance_);
    const bool answered = answer.end_ == buffered_answer::end::answered;
    const bool other_server = !instance.empty() && !info.id_.empty() && instance != info.id_;
    const bool usable = answered && answer.head_.status_ == status_ok && !other_server;
    if (!usable) {
        telemetry::decided("probe_failed", {},
                           {{"service", service.config_.name_},
                            {"target", target_name(service, target)},
                            {"end", std::to_string(static_cast<int>(answer.end_))},
                            {"status", std::to_string(answer.head_.status_)},
                            {"instance", std::string{instance}}});
        if (answer.end_ != buffered_answer::end::timeout ||
            routing::is_silence_of_target(service.probe_times_, sent_at)) {
            routing::on_probe_failed(service.view_, target, loop_.now());
        }
        done(std::nullopt, false);
        return;
    }
    on_target_heard(service);
    on_limit_field(service, target, answer.head_, routing::limit_source::probe);
    on_warm_up_field(service, target, answer.head_);
    routing::on_probe_answered(service.probe_times_, sent_at, loop_.now());
    const auto load =
        names.load_.empty() ? std::nullopt : read_compact_load(answer.head_, names.load_);
    routing::on_probe_ended(service.view_, target, load, loop_.now());
    done(load, true);
}

void http_task::on_target_heard(service_state& service)
{
    heard_at_ = loop_.now();
    if (const auto ended = routing::on_target_answered(service.reach_, heard_at_)) {
        metrics_.services_unreachable_.Decrement();
        telemetry::state_change("targets_reachable",
                                {{"service", service.config_.name_},
                                 {"after_ms", log_ms(ended->length_)},
                                 {"requests", std::to_string(ended->requests_)}});
    }
}

void http_task::on_targets_silent(service_state& service)
{
    if (routing::on_search_unanswered(service.reach_, loop_.now())) {
        metrics_.services_unreachable_.Increment();
        telemetry::state_change("targets_unreachable",
                                {{"service", service.config_.name_},
                                 {"targets", std::to_string(service.target_count_)}},
                                telemetry::severity::warning);
    }
}

} // namespace savoryscale::http
