#include "directory/follower.hpp"

#include "base/percent_encoding.hpp"
#include "directory/dialect.hpp"
#include "directory/store_era.hpp"
#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "telemetry/log.hpp"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

using namespace std::chrono_literals;

// Timeout of a call, in addition to the requested wait.
constexpr duration answer_timeout = 1500ms;

// A page of a list holds at most one megabyte of objects plus its envelope. Escaped in JSON, a byte
// of their text takes up to six.
constexpr std::size_t answer_max_bytes = std::size_t{8} << 20U;

constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;
constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_unavailable = 503;

store::call_status status_of(const http::buffered_answer& answer)
{
    using end = http::buffered_answer::end;
    if (answer.end_ == end::not_sent || answer.end_ == end::refused) {
        return store::call_status::not_sent;
    }
    if (answer.end_ != end::answered) {
        return store::call_status::unknown;
    }
    switch (answer.head_.status_) {
    case http_ok:
        return store::call_status::ok;
    case http_not_found:
    case http_gone:
        return store::call_status::not_found;
    case http_too_many_requests:
    case http_unavailable:
        return store::call_status::unavailable;
    default:
        return store::call_status::rejected;
    }
}

store::operation operation_of(const follow_call& call)
{
    if (!call.name_.empty()) {
        return store::operation::get;
    }
    return call.watch_ ? store::operation::watch : store::operation::list;
}

} // namespace

follower::follower(http::event_loop& loop, http::connection_pool& pool,
                   const dialect& store_dialect, std::string_view kind,
                   const follow_options& options, random_source& random, follower_events events)
    : loop_{loop},
      pool_{pool},
      dialect_{store_dialect},
      kind_{kind},
      random_{random},
      events_{std::move(events)}
{
    state_.options_ = options;
}

follower::~follower()
{
    loop_.cancel(timer_);
}

void follower::start(const store_position& known, std::optional<time_point> failing_since)
{
    if (std::exchange(running_, true)) {
        return;
    }
    resume_from(state_, known, failing_since);
    call();
}

void follower::on_store_restored()
{
    if (running_) {
        exchange_.reset();
        on_history_gone(state_, loop_.now());
        schedule();
    }
}

void follower::set_pace(duration pause, duration wait)
{
    state_.options_.pause_ = pause;
    state_.options_.wait_ = wait;
}

void follower::stop()
{
    running_ = false;
    loop_.cancel(std::exchange(timer_, 0));
    exchange_.reset();
}

void follower::schedule()
{
    if (!running_) {
        return;
    }
    loop_.cancel(timer_);
    timer_ = loop_.at(state_.due_, [this] {
        timer_ = 0;
        call();
    });
}

void follower::call()
{
    call_began_ = loop_.now();
    const follow_call next = next_call(state_, call_began_);
    if (next.after_.empty() && next.name_.empty()) {
        answer_began_ = call_began_;
    }
    auto started = std::make_unique<http::buffered_exchange>(
        loop_,
        fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", dialect_.call_path_(kind_, next),
                    pool_.name()),
        answer_max_bytes);
    exchange_ = std::move(started);
    const bool began = exchange_->start(
        pool_, next.wait_ + answer_timeout,
        [this, next](const http::buffered_answer& answer) { on_answer(answer, next); });
    if (!began) {
        exchange_.reset();
        fail("no free connection");
    }
}

void follower::on_answer(const http::buffered_answer& answer, const follow_call& call)
{
    loop_.destroy_later(std::move(exchange_)); // its callback is still on the stack
    const store::operation operation = operation_of(call);
    const store::call_status status = status_of(answer);
    events_.on_call_(operation, status);
    const bool answered = answer.end_ == http::buffered_answer::end::answered;
    const auto era = answered ? read_store_era(http::find_field(answer.head_, dialect_.era_field_))
                              : std::nullopt;
    if (!events_.on_era_(era, call_began_)) {
        fail("the answer is of an era of the store that has ended");
        return;
    }
    if (call.watch_ && is_from_other_era(state_, era.value_or(0))) {
        fail("the store came back from an older copy");
        return;
    }
    if (answered && answer.head_.status_ == http_gone) {
        telemetry::state_change("store_history_gone", {{"kind", kind_}},
                                telemetry::severity::warning);
        on_history_gone(state_, loop_.now());
        schedule();
    }
    else if (status != store::call_status::ok &&
             !(operation == store::operation::get && status == store::call_status::not_found)) {
        fail(fmt::format("exchange ended with result {}, HTTP status {}",
                         static_cast<int>(answer.end_), answer.head_.status_));
    }
    else if (std::string reason = read(answer, call, era.value_or(0)); !reason.empty()) {
        fail(std::move(reason));
    }
}

// Returns why the answer cannot be used; empty: it was.
std::string follower::read(const http::buffered_answer& answer, const follow_call& call,
                           std::uint64_t era)
{
    if (!call.name_.empty()) {
        // An object that cannot be read is passed over, as on a page of a list.
        auto object = dialect_.read_object_(answer.body_);
        on_object(state_, object ? std::optional{std::move(*object)} : std::nullopt, era,
                  loop_.now());
        schedule();
        return {};
    }
    if (call.watch_) {
        auto changes = dialect_.read_changes_(answer.body_);
        if (!changes) {
            return to_string(changes.error());
        }
        changes->era_ = era;
        report_update(on_changes(state_, std::move(*changes), loop_.now()));
        return {};
    }
    auto page = dialect_.read_list_(answer.body_);
    if (!page) {
        return to_string(page.error());
    }
    page->era_ = era;
    follow_update update = on_list_page(state_, std::move(*page), loop_.now());
    if (update.stalled_) {
        return "the page does not continue the list";
    }
    if (update.skipped_from_) {
        telemetry::state_change("store_names_skipped",
                                {{"kind", kind_}, {"from", percent_encoded(*update.skipped_from_)}},
                                telemetry::severity::warning);
    }
    report_update(std::move(update));
    return {};
}

void follower::fail(std::string reason)
{
    // Of a list, the name that began the page: other writers choose names.
    const std::string after = percent_encoded(state_.after_);
    if (!state_.failing_since_) {
        telemetry::state_change("store_lost", {{"kind", kind_}, {"why", reason}, {"after", after}},
                                telemetry::severity::warning);
    }
    telemetry::state_change("store_call_failed",
                            {{"kind", kind_}, {"why", reason}, {"after", after}},
                            telemetry::severity::debug);
    on_call_failed(state_, loop_.now(), random_);
    schedule();
}

void follower::report_update(follow_update update)
{
    if (state_.confirmed_) {
        last_confirmed_at_ = loop_.now();
    }
    if (update.outage_duration_) {
        const auto away =
            std::chrono::duration_cast<std::chrono::milliseconds>(*update.outage_duration_);
        telemetry::state_change("store_regained",
                                {{"kind", kind_}, {"away_ms", std::to_string(away.count())}});
    }
    events_.on_update_(std::move(update));
    schedule();
}

} // namespace savoryscale::directory
