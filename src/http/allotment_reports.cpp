#include "http/allotment_reports.hpp"

#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "peer/allotment_wire.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace savoryscale::http {

namespace {

using namespace std::chrono_literals;

// Between two reports, also without anything to report: the granter has to know of this host. A
// host that has let through its part of an allotment reports at once.
constexpr duration report_interval = 500ms;

// Requests wait for the answer.
constexpr duration answer_timeout = 100ms;
constexpr std::size_t answer_bytes_max = 32768;

// One for the report under way, and one to replace a connection that does not respond.
constexpr std::size_t connections_max = 2;

// A granter that does not answer is not asked again for this long, doubled with each failure.
constexpr duration unreachable_min = 250ms;
constexpr std::uint32_t unreachable_doublings = 3;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

} // namespace

allotment_reports::allotment_reports(event_loop& loop, random_source& random,
                                     const settings::settings& config,
                                     const telemetry::metrics& metrics)
    : loop_{loop},
      random_{random},
      metrics_{metrics},
      own_name_{organisations::hash_of_name(config.host_.id_)}
{
    if (config.directory_) {
        granter_.bounds_ = config.directory_->allotments_;
        use_.bounds_ = config.directory_->allotments_;
    }
    granter_.counted_at_ = loop.now();
    set_alone(config.host_.hosts_max_);
}

allotment_reports::~allotment_reports()
{
    loop_.cancel(timer_);
    exchange_.reset();
}

void allotment_reports::clear_granters()
{
    if (exchange_ != nullptr) {
        exchange_.reset();
        organisations::on_no_answer(use_);
        waiting_.splice(waiting_.begin(), asked_);
    }
    last_answered_ = nullptr;
    granters_.clear();
}

void allotment_reports::set_granters(std::span<const settings::endpoint> hosts,
                                     const settings::endpoint& own)
{
    clear_granters();
    for (const settings::endpoint& host : hosts) {
        auto added = std::make_unique<granter>();
        added->address_ = host;
        if (host != own) {
            added->pool_ = std::make_unique<connection_pool>(loop_, host, false, connections_max);
        }
        granters_.push_back(std::move(added));
    }
    std::sort(granters_.begin(), granters_.end(), [](const auto& one, const auto& other) {
        return to_string(one->address_) < to_string(other->address_);
    });
    granter_.hosts_told_ = 0;
    if (!waiting_.empty()) {
        send();
    }
}

void allotment_reports::set_alone(std::uint32_t hosts_max)
{
    clear_granters();
    use_.hosts_max_ = hosts_max;
    granter_.hosts_told_ = hosts_max;
    granter_.hosts_told_at_ = time_point::max() - 1h;
    granters_.push_back(std::make_unique<granter>());
}

void allotment_reports::set_allotments(std::span<const organisations::organisation> all)
{
    organisations::set_allotments(granter_, all, loop_.now());
    has_allotments_ = !granter_.accounts_.empty();
    if (has_allotments_ && timer_ == 0 && exchange_ == nullptr) {
        send(); // the first report tells what is near its limit
    }
}

std::uint64_t allotment_reports::check(const organisations::organisation& caller,
                                       decided_function decided)
{
    const organisations::name_hash name = organisations::hash_of_name(caller.name_);
    if (caller.allotment_.per_second_ <= 0) {
        decided({});
        return 0;
    }
    const auto decision = organisations::decide(use_, name, caller.allotment_,
                                                next_granter() != nullptr, loop_.now(), random_);
    const std::uint64_t id = ++last_id_;
    waiting_request request{id, name, caller.allotment_, std::move(decided)};
    if (decision.verdict_ != organisations::use_verdict::ask) {
        decide(request, decision);
        return 0;
    }
    waiting_.push_back(std::move(request));
    if (exchange_ == nullptr) {
        send();
    }
    const auto is_it = [id](const waiting_request& each) { return each.id_ == id; };
    return std::any_of(waiting_.begin(), waiting_.end(), is_it) ||
                   std::any_of(asked_.begin(), asked_.end(), is_it)
               ? id
               : 0;
}

void allotment_reports::decide(const waiting_request& request, organisations::use_decision decided)
{
    decided.return_time_ =
        organisations::return_time(use_, request.organisation_, decided.verdict_, loop_.now());
    request.decided_(decided);
}

void allotment_reports::cancel(std::uint64_t id)
{
    const auto is_it = [id](const waiting_request& each) { return each.id_ == id; };
    waiting_.remove_if(is_it);
    for (waiting_request& each : asked_) {
        if (each.id_ == id) {
            each.decided_ = nullptr; // what is granted for it is given back
        }
    }
}

void allotment_reports::give_back(const organisations::organisation& caller)
{
    organisations::give_back(use_, organisations::hash_of_name(caller.name_));
}

page allotment_reports::answer(std::string_view path)
{
    const auto report = peer::read_allotment_path(path);
    if (!report) {
        return {status_bad_request, "text/plain", to_string(report.error()) + "\n"};
    }
    metrics_.allotment_reports_[telemetry::direction::received].Increment();
    return {status_ok, "text/plain",
            peer::write_allotment_answer(organisations::on_report(granter_, *report, loop_.now()))};
}

allotment_reports::granter* allotment_reports::next_granter()
{
    const auto found = std::find_if(granters_.begin(), granters_.end(), [this](const auto& each) {
        return each->unreachable_until_ <= loop_.now();
    });
    return found == granters_.end() ? nullptr : found->get();
}

void allotment_reports::arm()
{
    if (timer_ == 0 && has_allotments_) {
        timer_ = loop_.after(report_interval, [this] { on_report_due(); });
    }
}

void allotment_reports::on_report_due()
{
    timer_ = 0;
    if (exchange_ == nullptr) {
        send();
    }
    arm();
}

void allotment_reports::send()
{
    arm();
    granter* asked = next_granter();
    if (asked == nullptr) {
        resolve_alone(std::exchange(waiting_, {}));
        return;
    }
    auto report = organisations::take_report(use_, own_name_, asked != last_answered_, loop_.now());
    std::map<organisations::name_hash, std::uint32_t> wanted;
    for (const waiting_request& each : waiting_) {
        ++wanted[each.organisation_];
    }
    for (auto& each : report.uses_) {
        const auto found = wanted.extract(each.organisation_);
        each.wanted_ = found ? found.mapped() : 0;
    }
    for (const auto& [organisation, count] : wanted) {
        report.uses_.push_back({organisation, 0, count});
    }
    // Requests beyond the bound are decided by this host alone.
    report.uses_.resize(std::min(report.uses_.size(), organisations::reported_organisations_max));
    asked_ = std::exchange(waiting_, {});
    if (asked->pool_ == nullptr) {
        const auto answer = organisations::on_report(granter_, report, loop_.now());
        last_answered_ = asked;
        on_answer(answer);
        return;
    }
    metrics_.allotment_reports_[telemetry::direction::sent].Increment();
    exchange_ = std::make_unique<buffered_exchange>(
        loop_,
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", peer::write_allotment_path(report),
                    asked->pool_->name()),
        answer_bytes_max);
    const bool began =
        exchange_->start(*asked->pool_, answer_timeout, [this, asked](const buffered_answer& end) {
            loop_.destroy_later(std::move(exchange_));
            on_exchange_ended(*asked, end);
        });
    if (!began) {
        exchange_.reset();
        on_exchange_ended(*asked, {});
    }
}

void allotment_reports::on_exchange_ended(granter& asked, const buffered_answer& answer)
{
    const bool answered =
        answer.end_ == buffered_answer::end::answered && answer.head_.status_ == status_ok;
    const auto read = answered ? peer::read_allotment_answer(answer.body_)
                               : result<organisations::use_answer>{tl::unexpected(error{})};
    if (read) {
        asked.failures_ = 0;
        last_answered_ = &asked;
        on_answer(*read);
    }
    else {
        if (asked.failures_ == 0) {
            telemetry::state_change("allotment_granter_lost",
                                    {{"granter", to_string(asked.address_)},
                                     {"status", std::to_string(answer.head_.status_)}},
                                    telemetry::severity::warning);
        }
        asked.unreachable_until_ = loop_.now() + unreachable_min * (1U << asked.failures_);
        asked.failures_ = std::min(asked.failures_ + 1, unreachable_doublings);
        organisations::on_no_answer(use_);
        waiting_.splice(waiting_.begin(), asked_);
    }
    if (exchange_ == nullptr && (!read || !waiting_.empty())) {
        send();
    }
}

void allotment_reports::on_answer(const organisations::use_answer& answer)
{
    organisations::on_answer(use_, answer, loop_.now());
    resolve(std::exchange(asked_, {}), answer);
}

// The first requests get what was granted.
void allotment_reports::resolve(std::list<waiting_request> requests,
                                const organisations::use_answer& answer)
{
    std::map<organisations::name_hash, organisations::use_grant> grants;
    for (const auto& each : answer.near_limit_) {
        grants.emplace(each.organisation_, each);
    }
    std::list<waiting_request> unanswered;
    while (!requests.empty()) {
        const auto found = grants.find(requests.front().organisation_);
        if (found == grants.end()) { // the granter does not know this organisation
            unanswered.splice(unanswered.end(), requests, requests.begin());
            continue;
        }
        const waiting_request each = std::move(requests.front());
        requests.pop_front();
        const bool is_granted = found->second.granted_ > 0;
        found->second.granted_ -= is_granted ? 1 : 0;
        if (is_granted && !each.decided_) {
            organisations::give_back(use_, each.organisation_);
        }
        if (each.decided_) {
            decide(each, {is_granted ? organisations::use_verdict::passed
                                     : organisations::use_verdict::refused,
                          found->second.wait_});
        }
    }
    resolve_alone(unanswered);
}

void allotment_reports::resolve_alone(const std::list<waiting_request>& requests)
{
    for (const waiting_request& each : requests) {
        if (each.decided_) {
            decide(each, organisations::decide_alone(use_, each.organisation_, each.limit_,
                                                     loop_.now(), random_));
        }
    }
}

void allotment_reports::close_aged(time_point now)
{
    for (const auto& each : granters_) {
        if (each->pool_ != nullptr) {
            each->pool_->close_aged(now);
        }
    }
}

} // namespace savoryscale::http
