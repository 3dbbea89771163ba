#pragma once

// Runs an entry host that follows a directory on its own thread, with a scripted store and targets
// on loopback. The store implements list and watch of the users' object API.

#include "directory/directory_task.hpp"
#include "http/event_loop.hpp"
#include "http/http_task.hpp"
#include "platform/dialect.hpp"
#include "support/fake_upstream.hpp"
#include "support/store_pages.hpp"
#include "telemetry/metrics.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryscale::testing {

// A store of objects by kind and name, with one revision counter for all.
class scripted_store {
public:
    scripted_store() : server_{[this](script_connection& connection, int) { serve(connection); }} {}

    ~scripted_store()
    {
        const std::lock_guard lock{mutex_};
        closing_ = true;
        changed_.notify_all();
    }

    scripted_store(const scripted_store&) = delete;
    scripted_store& operator=(const scripted_store&) = delete;

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    void put(const std::string& kind, const std::string& name, nlohmann::json spec)
    {
        const std::lock_guard lock{mutex_};
        ++revision_;
        objects_[kind][name] = {
            {"metadata", {{"name", name}, {"revision", revision_}, {"created", 1}}},
            {"spec", std::move(spec)}};
        log_.push_back({revision_, kind, objects_[kind][name], false});
        changed_.notify_all();
    }

    // While unavailable, the store refuses every call with 503.
    void set_unavailable(bool unavailable)
    {
        const std::lock_guard lock{mutex_};
        unavailable_ = unavailable;
        changed_.notify_all();
    }

    // Sends these bytes in answer to every call, also to those that wait; empty: answers itself.
    void set_answer(std::string bytes)
    {
        const std::lock_guard lock{mutex_};
        set_answer_ = std::move(bytes);
        changed_.notify_all();
    }

    // Refuses every call for objects of this kind with 503, except those that wait already.
    void refuse_kind(const std::string& kind)
    {
        const std::lock_guard lock{mutex_};
        refused_kind_ = kind;
    }

    // From now on a page of a list holds this many objects.
    void set_page_size(std::size_t objects)
    {
        const std::lock_guard lock{mutex_};
        page_max_ = objects;
    }

    // From now on values in the query of a call are read in this way.
    void set_reading(value_reading reading) { reading_ = reading; }

    // From now on lists of targets are sent this long after they were made.
    void delay_lists(std::chrono::milliseconds delay) { list_delay_ = delay; }

    // Lists of targets made so far.
    [[nodiscard]] int lists() const { return lists_; }

    [[nodiscard]] int calls() const { return calls_; }
    [[nodiscard]] int writes() const { return writes_; }

    // Replacements and removals that were not bound to a revision.
    [[nodiscard]] int unconditional_writes() const { return unconditional_writes_; }

    // Whether there is an object of this kind and name, 1 or 0; without a name, how many there are.
    std::size_t count(const std::string& kind, const std::string& name = {})
    {
        const std::lock_guard lock{mutex_};
        return name.empty() ? objects_[kind].size() : objects_[kind].count(name);
    }

    // The value of an object; null if there is none.
    nlohmann::json value(const std::string& kind, const std::string& name)
    {
        const nlohmann::json object = find(kind, name);
        return object.is_null() ? object : object.at("spec");
    }

    // The names of the objects of a kind.
    std::vector<std::string> names(const std::string& kind)
    {
        const std::lock_guard lock{mutex_};
        std::vector<std::string> all;
        for (const auto& [name, object] : objects_[kind]) {
            all.push_back(name);
        }
        return all;
    }

    // Keeps a copy of the objects and the revision, for restore().
    void keep_copy()
    {
        const std::lock_guard lock{mutex_};
        copy_ = {objects_, revision_};
    }

    // Comes back from the copy, in the next era. `cut`: ends the calls that wait.
    void restore(bool cut = true)
    {
        const std::lock_guard lock{mutex_};
        objects_ = copy_.first;
        revision_ = copy_.second;
        log_.clear();
        ++era_;
        restorations_ += cut ? 1 : 0;
        changed_.notify_all();
    }

    // The era that answers name; empty: they name none.
    void name_era(std::string era)
    {
        const std::lock_guard lock{mutex_};
        named_era_ = std::move(era);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock{mutex_};
        ++revision_;
        log_.push_back({revision_, kind, objects_[kind][name], true});
        objects_[kind].erase(name);
        changed_.notify_all();
    }

private:
    struct change {
        std::uint64_t revision_ = 0;
        std::string kind_;
        nlohmann::json object_;
        bool deleted_ = false;
    };

    void serve(script_connection& connection)
    {
        while (true) {
            const std::string request = connection.read_request();
            if (request.empty()) {
                return;
            }
            ++calls_;
            if (const std::string fixed = fixed_answer(); !fixed.empty()) {
                connection.send(fixed);
                continue;
            }
            const int restorations = restorations_;
            const auto target = read_store_request(request, reading_);
            if (!target || target->path_.size() < 3) {
                connection.send("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string& kind = target->path_[2];
            if (is_refused(kind)) {
                connection.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!request.starts_with("GET ")) {
                connection.send(write(request, *target));
                continue;
            }
            if (target->path_.size() > 3) {
                const nlohmann::json object = find(kind, target->path_[3]);
                connection.send(answer(object.is_null() ? 404 : 200, object));
                continue;
            }
            const bool watch = target->query_.count("watch") > 0;
            const std::uint64_t from = watch ? std::stoull(target->query_.at("watch")) : 0;
            if (from > revision()) {
                connection.send(
                    fmt::format("HTTP/1.1 410 Gone\r\n{}Content-Length: 0\r\n\r\n", era_field()));
                continue;
            }
            const std::string body =
                watch ? wait(kind, from, requested_wait(*target)) : list(kind, target->query_);
            if (restorations != restorations_) {
                connection.close();
                return;
            }
            if (!watch && kind == "servers") {
                ++lists_;
                std::this_thread::sleep_for(list_delay_.load());
            }
            const std::string fixed = fixed_answer();
            connection.send(fixed.empty() ? ok_answer(body, era_field()) : fixed);
        }
    }

    // Carries out POST, PUT or DELETE and returns the answer, which holds the object as it is then.
    std::string write(const std::string& request, const store_target& target)
    {
        ++writes_;
        const std::string& kind = target.path_[2];
        const auto body =
            nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4), nullptr, false);
        const std::string name = target.path_.size() > 3
                                     ? target.path_[3]
                                     : body.at("metadata").at("name").get<std::string>();
        const nlohmann::json known = find(kind, name);
        if (request.starts_with("POST ") != known.is_null()) {
            return answer(known.is_null() ? 404 : 409, {});
        }
        const auto expected = expected_revision(target, body);
        unconditional_writes_ += !expected && !known.is_null() ? 1 : 0;
        if (expected && *expected != known.at("metadata").at("revision")) {
            return answer(409, known);
        }
        if (request.starts_with("DELETE ")) {
            remove(kind, name);
        }
        else {
            put(kind, name, body.at("spec"));
        }
        return answer(200, find(kind, name));
    }

    // The revision to which a write is bound, in its query or in the object.
    static std::optional<std::uint64_t> expected_revision(const store_target& target,
                                                          const nlohmann::json& body)
    {
        const auto at = target.query_.find("revision");
        if (at != target.query_.end()) {
            return std::stoull(at->second);
        }
        if (!body.is_object() || !body.at("metadata").contains("revision")) {
            return std::nullopt;
        }
        return body.at("metadata").at("revision").get<std::uint64_t>();
    }

    std::string answer(int status, const nlohmann::json& body)
    {
        const std::string text = body.is_null() ? "{}" : body.dump();
        return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status, era_field(),
                           text.size(), text);
    }

    nlohmann::json find(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock{mutex_};
        const auto& all = objects_[kind];
        const auto found = all.find(name);
        return found == all.end() ? nlohmann::json{} : found->second;
    }

    std::uint64_t revision()
    {
        const std::lock_guard lock{mutex_};
        return revision_;
    }

    std::string era_field()
    {
        const std::lock_guard lock{mutex_};
        const std::string era = named_era_.value_or(std::to_string(era_));
        return era.empty() ? "" : fmt::format("Store-Era: {}\r\n", era);
    }

    // What every call is answered with; empty: it is carried out.
    std::string fixed_answer()
    {
        const std::lock_guard lock{mutex_};
        return unavailable_ ? "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" : set_answer_;
    }

    bool is_refused(const std::string& kind)
    {
        const std::lock_guard lock{mutex_};
        return kind == refused_kind_;
    }

    std::string list(const std::string& kind, const std::map<std::string, std::string>& query)
    {
        const std::lock_guard lock{mutex_};
        const auto after = query.find("after");
        return store_page(objects_[kind],
                          after == query.end() ? std::nullopt : std::optional{after->second},
                          page_max_, revision_);
    }

    static std::chrono::milliseconds requested_wait(const store_target& target)
    {
        const auto at = target.query_.find("wait_ms");
        return std::chrono::milliseconds{
            at == target.query_.end() ? 0 : std::min(2000, std::stoi(at->second))};
    }

    std::string wait(const std::string& kind, std::uint64_t from, std::chrono::milliseconds longest)
    {
        std::unique_lock lock{mutex_};
        std::string events;
        const int before = restorations_;
        changed_.wait_for(lock, longest, [&] {
            events.clear();
            for (const change& each : log_) {
                if (each.revision_ > from && each.kind_ == kind) {
                    const std::string name = each.object_.at("metadata").at("name");
                    events +=
                        fmt::format(R"({}{{"object":{},"deleted":{}}})", events.empty() ? "" : ",",
                                    object_text(name, each.object_), each.deleted_);
                }
            }
            return closing_ || unavailable_ || !set_answer_.empty() || !events.empty() ||
                   restorations_ != before;
        });
        return fmt::format(R"({{"events":[{}],"store_revision":{}}})", events, revision_);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool closing_ = false;
    bool unavailable_ = false;
    std::string refused_kind_;
    std::string set_answer_;
    std::atomic<int> calls_ = 0;
    std::atomic<int> writes_ = 0;
    std::atomic<int> unconditional_writes_ = 0;
    std::atomic<int> lists_ = 0;
    std::size_t page_max_ = 500;
    std::atomic<value_reading> reading_ = value_reading::as_in_a_form;
    std::atomic<std::chrono::milliseconds> list_delay_{};
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::vector<change> log_;
    std::pair<std::map<std::string, std::map<std::string, nlohmann::json>>, std::uint64_t> copy_;
    std::uint64_t era_ = 1;
    std::optional<std::string> named_era_;
    std::atomic<int> restorations_ = 0;
    fake_upstream server_; // last: its threads use the members above
};

inline nlohmann::json route_json(std::string name, std::string prefix, std::string type,
                                 std::string service)
{
    return {{"name", name},       {"host", "a.example"}, {"path_prefix", prefix},
            {"route_type", type}, {"timeout_s", 2},      {"latency_goal_s", 1},
            {"max_attempts", 2},  {"priority", 1},       {"service", service}};
}

inline nlohmann::json state_json(std::uint64_t version, nlohmann::json all_routes)
{
    const auto service = [](const char* name) {
        return nlohmann::json{{"name", name}, {"health_path", "/health"}, {"max_conns", 200}};
    };
    return {{"version", fmt::format("r{}", version)},
            {"routes", std::move(all_routes)},
            {"services", {service("ledger"), service("photos")}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1000},
              {"header_timeout_s", 3},
              {"idle_timeout_s", 5}}}};
}

inline nlohmann::json server_json(std::uint16_t port, std::string service = "ledger")
{
    return nlohmann::json::parse(fmt::format(
        R"({{"service":"{}","address":"127.0.0.1:{}","zone":"mobile","version":"v1","slots":2,
            "state":"ready","warmup_left_s":0,"sequence":1}})",
        service, port));
}

// Address at which a host serves others. Unique to this process, so that test runs can overlap.
inline settings::endpoint feed_address(int host)
{
    const int id = static_cast<int>(getpid());
    return {fmt::format("127.{}.{}.{}", 1 + (id >> 16) % 250, (id >> 8) % 256, id % 256),
            static_cast<std::uint16_t>(7731 + host)};
}

// Value of the first field with this name in a message; empty if there is none.
inline std::string field_of(const std::string& message, const std::string& name)
{
    const auto at = message.find(name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + 2;
    return message.substr(from, message.find('\r', from) - from);
}

inline settings::settings directory_settings(std::uint16_t store_port)
{
    settings::settings config;
    config.host_ = {"host-1", "mobile", "gulf-south", 2};
    config.listen_.address_ = {"127.0.0.1", 0};
    config.listen_.stop_lag_ = std::chrono::milliseconds{20};
    config.listen_.fractional_retry_after_ = true;
    config.listen_.refusals_prove_not_run_ = true;
    settings::directory followed;
    followed.store_ = {"127.0.0.1", store_port};
    followed.drain_ = settings::seconds{0.05};
    followed.service_.policy_ = "probed";
    followed.service_.not_run_header_ = "X-Not-Run";
    followed.service_.not_run_statuses_ = {421};
    followed.service_.retry_ratio_ = 0.15;
    config.directory_ = followed;
    config.header_names_.request_id_ = "X-Id";
    config.header_names_.caller_sets_request_id_ = true;
    config.header_names_.seal_ = "X-Seal";
    config.header_names_.expect_instance_ = "X-Expect";
    config.header_names_.instance_ = "X-Instance";
    config.header_names_.load_ = "X-Load";
    return config;
}

class running_routed_host {
public:
    explicit running_routed_host(std::uint16_t store_port)
        : running_routed_host{directory_settings(store_port)}
    {
    }

    explicit running_routed_host(settings::settings config) : config_{std::move(config)}
    {
        loop_ = std::move(http::event_loop::make(256, http::tls_support::no)).value();
        http::http_task_events http_events;
        http_events.on_suspicion_ = [this](const peer::fact& suspicion) {
            directory_->share_suspicion(suspicion);
        };
        http_task_ =
            std::make_unique<http::http_task>(*loop_, config_, metrics_, 1, std::move(http_events));
        directory::directory_events events;
        events.on_desired_state_ = [this](routes::desired_state state) {
            http_task_->set_desired_state(std::move(state));
        };
        events.on_targets_ = [this](const std::string& service,
                                    std::vector<routing::target_info> targets) {
            http_task_->set_targets(service, std::move(targets));
        };
        events.on_emptied_ = [this](const std::vector<std::string>& data_centres) {
            http_task_->set_emptied(data_centres);
        };
        events.on_store_call_ = [](store::operation, store::call_status) {};
        events.on_peer_request_ = [this](std::string_view path) {
            return http_task_->answer_peer(path);
        };
        events.unreached_services_ = [this] { return http_task_->unreached_services(); };
        events.on_suspicions_ = [this](const std::vector<peer::fact>& suspicions) {
            http_task_->receive_suspicions(suspicions);
        };
        events.on_peer_started_ = [this](const std::string& peer) {
            http_task_->suspicion_reports().report_all(peer);
        };
        directory_ = std::make_unique<directory::directory_task>(
            *loop_, *config_.directory_, platform::dialect(), config_.host_, 2, std::move(events));
        http_task_->relays().set_known_hosts(
            [this] { return directory_->known_hosts(config_.host_.data_centre_); });
        http_task_->set_confirmed_at([this] { return directory_->confirmed_at(); });
        port_ = http_task_->open().value();
        feed_port_ = directory_->start().value();
        thread_ = std::thread{[this] { loop_->run([this] { http_task_->run_posted(); }); }};
    }

    ~running_routed_host()
    {
        loop_->stop();
        thread_.join();
        directory_.reset();
        http_task_.reset();
    }

    running_routed_host(const running_routed_host&) = delete;
    running_routed_host& operator=(const running_routed_host&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::uint16_t feed_port() const { return feed_port_; }

    // Runs `action` on the host's thread and waits for it.
    void run(const std::function<void(http::http_task&)>& action)
    {
        std::promise<void> done;
        http_task_->post([&](http::http_task& task) {
            action(task);
            done.set_value();
        });
        done.get_future().wait();
    }

    // Waits up to 6 s until the host has adopted the version, or a newer one, and the service has
    // this number of usable targets. False when the time ran out.
    bool reaches(std::uint64_t version, std::size_t targets, const std::string& service = "ledger")
    {
        for (int i = 0; i < 600; ++i) {
            bool held = false;
            run([&](http::http_task& task) {
                const bool known = task.routes() && task.routes()->state_.version_ >= version;
                held = known && task.target_count(service) == targets;
            });
            if (held) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return false;
    }

private:
    settings::settings config_;
    prometheus::Registry registry_;
    telemetry::metrics metrics_ = telemetry::register_metrics(registry_);
    std::unique_ptr<http::event_loop> loop_;
    std::unique_ptr<http::http_task> http_task_;
    std::unique_ptr<directory::directory_task> directory_;
    std::uint16_t port_ = 0;
    std::uint16_t feed_port_ = 0;
    std::thread thread_;
};

} // namespace savoryscale::testing
