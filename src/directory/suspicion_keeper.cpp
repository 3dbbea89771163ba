#include "directory/suspicion_keeper.hpp"

#include "directory/dialect.hpp"
#include "http/buffered_exchange.hpp"
#include "http/connection_pool.hpp"
#include "http/event_loop.hpp"
#include "telemetry/log.hpp"
#include "telemetry/trace.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryscale::directory {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A host that has read the store itself for this long is a lone host: one that starts, or whose
// host of the feed has stopped, finds another one sooner.
constexpr duration lone_after = 3s;

// A lone host hears news from a waiting watch. The store may refuse the kind or be away for long.
constexpr duration watch_wait = 20s;
constexpr duration backoff_min = 1s;
constexpr duration backoff_max = 60s;

constexpr duration answer_timeout = 1500ms;
constexpr std::size_t answer_bytes_max = 65536;

// Objects are removed this long after their time, which clocks of hosts do not differ by.
constexpr milliseconds outdated_margin = 60s;
constexpr std::size_t outdated_max = 4; // removed after one start

constexpr milliseconds lifetime_max = admission::refusal_lifetime + admission::suspicion_lifetime;

constexpr std::string_view crashes_field = "crashes";
constexpr std::string_view until_field = "until_ms"; // since the Unix epoch

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

milliseconds wall_now()
{
    return duration_cast<milliseconds>(std::chrono::nanoseconds{telemetry::wall_clock_ns()});
}

follow_options kept_options()
{
    follow_options options;
    options.wait_ = watch_wait;
    options.backoff_min_ = backoff_min;
    options.backoff_max_ = backoff_max;
    return options;
}

store::call_status status_of(const http::buffered_answer& answer)
{
    using end = http::buffered_answer::end;
    if (answer.end_ == end::not_sent || answer.end_ == end::refused) {
        return store::call_status::not_sent;
    }
    const int status = answer.head_.status_;
    return answer.end_ != end::answered     ? store::call_status::unknown
           : status >= 200 && status < 300  ? store::call_status::ok
           : status == status_conflict      ? store::call_status::conflict
           : status == status_not_found     ? store::call_status::not_found
           : status == 429 || status >= 500 ? store::call_status::unavailable
                                            : store::call_status::rejected;
}

} // namespace

suspicion_keeper::suspicion_keeper(http::event_loop& loop, http::connection_pool& pool,
                                   const dialect& store_dialect, random_source& random,
                                   suspicion_keeper_events events)
    : loop_{loop},
      pool_{pool},
      dialect_{store_dialect},
      random_{random},
      events_{std::move(events)},
      follower_{loop,
                pool,
                store_dialect,
                store_dialect.suspicions_kind_,
                kept_options(),
                random,
                {[this](const follow_update& update) { on_update(update); }, events_.on_call_,
                 // What it says holds by its own time, whatever the era.
                 [](auto, auto) { return true; }}}
{
}

suspicion_keeper::~suspicion_keeper()
{
    loop_.cancel(lone_timer_);
    loop_.cancel(write_timer_);
}

void suspicion_keeper::set_reading(bool reads_store, bool is_feed_host)
{
    const bool before = std::exchange(reads_store_, reads_store);
    const auto role = !reads_store                            ? admission::keeper_role::none
                      : is_feed_host                          ? admission::keeper_role::feed
                      : role_ == admission::keeper_role::lone ? role_
                                                              : admission::keeper_role::none;
    if (before == reads_store && role == role_) {
        return;
    }
    role_ = role;
    loop_.cancel(std::exchange(lone_timer_, 0));
    if (reads_store && role_ == admission::keeper_role::none) {
        lone_timer_ = loop_.after(lone_after, [this] {
            lone_timer_ = 0;
            role_ = admission::keeper_role::lone;
            apply_role();
        });
    }
    apply_role();
}

void suspicion_keeper::apply_role()
{
    const bool reads_once = role_ == admission::keeper_role::feed && !was_read_;
    if (role_ == admission::keeper_role::lone || reads_once) {
        follower_.start({}, std::nullopt);
    }
    else {
        follower_.stop();
    }
    send_due();
}

void suspicion_keeper::on_update(const follow_update& update)
{
    was_read_ = true;
    if (update.complete_) {
        admission::forget_stored(kept_);
    }
    read_all(update.objects_);
    apply_role();
}

void suspicion_keeper::read_all(const std::vector<stored_object>& objects)
{
    std::vector<peer::fact> facts;
    for (const stored_object& object : objects) {
        read(object, facts);
    }
    if (!facts.empty()) {
        events_.on_read_(facts);
    }
}

void suspicion_keeper::read(const stored_object& object, std::vector<peer::fact>& facts)
{
    peer::fact known{peer::fact_kind::suspicion, object.name_, 0, {}, 0};
    const auto request = admission::fingerprint_of(known);
    if (!request) {
        return;
    }
    const nlohmann::json& value = object.value_;
    const bool readable = !object.removed_ && value.is_object() && value.contains(crashes_field) &&
                          value.contains(until_field) && value[crashes_field].is_string() &&
                          value[until_field].is_number_unsigned();
    if (!readable) {
        admission::on_kept_read(kept_, *request, 0, object.removed_ ? 0 : object.revision_);
        return;
    }
    known.payload_ = value[crashes_field].get<std::string>();
    // Bounded before the subtraction: the entry may be of another writer.
    const milliseconds until{
        std::min<std::uint64_t>(value[until_field].get<std::uint64_t>(),
                                static_cast<std::uint64_t>((wall_now() + lifetime_max).count()))};
    const milliseconds left = until - wall_now();
    if (!admission::is_valid(known) || left < std::chrono::seconds{1}) {
        admission::on_kept_read(kept_, *request, 0, object.revision_);
        if (left < -outdated_margin && outdated_.size() < outdated_max) {
            outdated_.push_back(object);
        }
        return;
    }
    known.lifetime_s_ =
        static_cast<std::uint32_t>(duration_cast<std::chrono::seconds>(left).count());
    admission::on_kept_read(kept_, *request, admission::version_of(known), object.revision_);
    facts.push_back(std::move(known));
}

void suspicion_keeper::on_suspicion(const peer::fact& changed, bool raised_here)
{
    admission::on_suspicion_changed(kept_, changed, raised_here, loop_.now());
    send_due();
}

void suspicion_keeper::on_store_regained()
{
    admission::on_store_regained(kept_, loop_.now(), random_);
    send_due();
}

void suspicion_keeper::on_store_restored()
{
    admission::forget_stored(kept_);
    on_store_regained();
}

// Makes the next write now, or arms the timer for it.
void suspicion_keeper::send_due()
{
    loop_.cancel(std::exchange(write_timer_, 0));
    if (exchange_ != nullptr || !reads_store_) {
        return;
    }
    const time_point now = loop_.now();
    if (const admission::kept_suspicion* due = admission::next_write(kept_, role_, now)) {
        send_write(*due);
        return;
    }
    if (!outdated_.empty()) {
        const stored_object outdated = std::move(outdated_.front());
        outdated_.pop_front();
        send_removal(outdated);
        return;
    }
    if (const auto next = admission::next_write_at(kept_, role_, now)) {
        write_timer_ = loop_.at(*next, [this] {
            write_timer_ = 0;
            send_due();
        });
    }
}

void suspicion_keeper::send_write(const admission::kept_suspicion& due)
{
    using admission::write_call;
    const std::string& name = due.fact_.subject_;
    const write_call call = admission::call_for(due);
    telemetry::decided("suspicion_kept", {},
                       {{"fingerprint", name},
                        {"crashes", due.fact_.payload_},
                        {"as", role_ == admission::keeper_role::feed ? "feed" : "lone"},
                        {"call", call == write_call::create ? "create"
                                 : call == write_call::read ? "read"
                                                            : "replace"},
                        {"stored_version", std::to_string(due.stored_version_)},
                        {"stored_revision", std::to_string(due.stored_revision_)}});
    const std::string path =
        dialect_.object_path_(dialect_.suspicions_kind_, call == write_call::create ? "" : name);
    if (call == write_call::read) {
        send(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", path, pool_.name()),
             store::operation::get);
        return;
    }
    const auto until = wall_now() + duration_cast<milliseconds>(due.expires_at_ - loop_.now());
    const std::string body =
        dialect_.write_object_(name,
                               {{crashes_field, due.fact_.payload_},
                                {until_field, static_cast<std::uint64_t>(until.count())}},
                               due.stored_revision_);
    const bool creates = call == write_call::create;
    send(fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     creates ? "POST" : "PUT", path, pool_.name(), body.size(), body),
         creates ? store::operation::create : store::operation::update);
}

void suspicion_keeper::send_removal(const stored_object& outdated)
{
    send(fmt::format(
             "DELETE {} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n",
             dialect_.removal_path_(dialect_.suspicions_kind_, outdated.name_, outdated.revision_),
             pool_.name()),
         store::operation::remove);
}

void suspicion_keeper::send(const std::string& request, store::operation operation)
{
    exchange_ = std::make_unique<http::buffered_exchange>(loop_, request, answer_bytes_max);
    const bool began = exchange_->start(pool_, answer_timeout,
                                        [this, operation](const http::buffered_answer& answer) {
                                            loop_.destroy_later(std::move(exchange_));
                                            on_sent(answer, operation);
                                        });
    if (!began) {
        exchange_.reset();
        on_sent({}, operation);
    }
}

void suspicion_keeper::on_sent(const http::buffered_answer& answer, store::operation operation)
{
    const store::call_status status = status_of(answer);
    events_.on_call_(operation, status);
    if (operation != store::operation::remove) {
        on_write_answered(answer, operation, status);
    }
    send_due();
}

void suspicion_keeper::on_write_answered(const http::buffered_answer& answer,
                                         store::operation operation, store::call_status status)
{
    using admission::write_end;
    using store::call_status;
    // The object as it is now, also in the answer to a call that met another revision.
    const auto object = dialect_.read_object_(answer.body_);
    const bool was_read = (status == call_status::ok || status == call_status::conflict) &&
                          object && object->revision_ > 0;
    const bool reads = operation == store::operation::get;
    const write_end end =
        status == call_status::ok && !reads     ? write_end::written
        : status == call_status::ok && was_read ? write_end::read
        : status == call_status::conflict       ? write_end::conflict
        : status == call_status::not_found && operation != store::operation::create
            ? write_end::gone
            : write_end::failed;
    const admission::fingerprint request = kept_.writing_.value_or(0);
    admission::on_write_ended(kept_, end, loop_.now(), random_);
    if (end != write_end::written && end != write_end::read) {
        telemetry::decided("suspicion_not_kept", {},
                           {{"fingerprint", admission::name_of(request)},
                            {"end", end == write_end::conflict ? "conflict"
                                    : end == write_end::gone   ? "gone"
                                                               : "failed"},
                            {"status", std::to_string(answer.head_.status_)},
                            {"failures", std::to_string(kept_.failures_)}});
    }
    if (was_read) {
        read_all({*object});
    }
}

} // namespace savoryscale::directory
