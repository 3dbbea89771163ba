#include "cli/lists_commands.hpp"

#include "cli/command.hpp"
#include "plans/applier.hpp"
#include "plans/configuration.hpp"
#include "store/blocking_call.hpp"
#include "store/status_view.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace savoryscale::cli {

namespace {

using store::call_status;
using store::object_call;
using store::operation;

// Attempts of a read before a command gives up, and the pause between them.
constexpr int read_attempts_max = 5;
constexpr std::chrono::milliseconds read_retry_pause{300};

// Polling interval of a status command that waits.
constexpr std::chrono::milliseconds status_poll_interval{1000};

bool is_answer(call_status status)
{
    return status == call_status::ok || status == call_status::not_found;
}

void print_errors(const std::vector<error>& errors, std::ostream& err)
{
    for (const error& each : errors) {
        err << to_string(each) << '\n';
    }
}

store::object_reply read(platform_access& access, operation operation, std::string_view key)
{
    store::object_reply reply;
    for (int i = 0; i < read_attempts_max; ++i) {
        reply = call_and_wait(access.objects_,
                              {operation, std::string{key}, {}, 0, access.call_timeout_, {}});
        if (is_answer(reply.status_)) {
            break;
        }
        access.sleep_(read_retry_pause);
    }
    return reply;
}

// The stored lists; version 0 when no lists have been applied yet.
validated<plans::configuration> read_lists(platform_access& access)
{
    const auto reply = read(access, operation::get, plans::configuration_key);
    if (!is_answer(reply.status_)) {
        return tl::unexpected{
            std::vector<error>{{error_kind::unavailable, "object API", "does not answer",
                                "run the command again later"}}};
    }
    if (reply.objects_.empty()) {
        return plans::configuration{};
    }
    return plans::parse_configuration(reply.objects_.front().value_, plans::configuration_key);
}

object_call to_call(const plans::applier_step& step, duration timeout)
{
    operation kind = operation::get;
    if (step.action_ == plans::applier_action::create) {
        kind = operation::create;
    }
    else if (step.action_ == plans::applier_action::update) {
        kind = operation::update;
    }
    return {kind,       std::string{plans::configuration_key},
            step.text_, step.expected_version_,
            timeout,    {}};
}

int print_report(const plans::apply_report& report, bool dry_run, std::ostream& out,
                 std::ostream& err)
{
    if (report.apply_outcome_ != plans::apply_outcome::unknown) {
        print_errors(report.errors_, err); // an unknown outcome is printed below
    }
    switch (report.apply_outcome_) {
    case plans::apply_outcome::applied:
        out << fmt::format("applied{}: version {}, {} entries changed\n",
                           dry_run ? " (dry run, nothing written)" : "", report.version_,
                           report.entries_);
        return exit_ok;
    case plans::apply_outcome::already_in_force:
        out << fmt::format("already in force: version {}\n", report.version_);
        return exit_ok;
    case plans::apply_outcome::refused_stale:
        out << fmt::format("refused: stale, against version {}\n", report.version_);
        return exit_refused;
    case plans::apply_outcome::refused_conflict:
        out << fmt::format("refused: conflict, against version {}\n", report.version_);
        return exit_refused;
    case plans::apply_outcome::refused_invalid:
        out << "refused: invalid\n";
        return exit_invalid;
    case plans::apply_outcome::unknown:
        break;
    }
    out << fmt::format("unknown: {}; {}\n", report.errors_.front().what_,
                       report.errors_.front().remedy_);
    return exit_unknown;
}

// The current status; no value when the platform does not answer or its lists cannot be parsed.
std::optional<store::status_view> read_status(platform_access& access, std::ostream& err)
{
    const auto stored = read_lists(access);
    if (!stored) {
        print_errors(stored.error(), err);
        return std::nullopt;
    }
    const auto records = read(access, operation::list, store::status_prefix);
    const auto hosts = fetch_and_wait(access.hosts_, access.call_timeout_);
    if (!is_answer(records.status_) || hosts.status_ != call_status::ok) {
        err << fmt::format("{}: does not answer; run the command again later\n",
                           is_answer(records.status_) ? "host list" : "object API");
        return std::nullopt;
    }
    if (hosts.unreadable_ > 0) {
        err << fmt::format("host list: {} hosts cannot be read; correct their entries\n",
                           hosts.unreadable_);
    }
    if (records.unreadable_ > 0) {
        err << fmt::format("object API: {} objects under {} cannot be read; remove them\n",
                           records.unreadable_, store::status_prefix);
    }
    std::vector<store::status_record> parsed;
    for (const store::object& each : records.objects_) {
        if (auto record = store::parse_status_record(each.value_)) {
            parsed.push_back(std::move(*record));
        }
        else {
            err << fmt::format("{}: {}\n", each.key_, to_string(record.error()));
        }
    }
    auto view = make_status_view(stored->lists_.version_, hosts.hosts_, parsed, access.now_ms_());
    view.all_hold_ = view.all_hold_ && hosts.unreadable_ == 0;
    return view;
}

std::string print_json(const store::status_view& view)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const store::host_version_status& each : view.hosts_) {
        hosts.push_back({{"id", each.id_},
                         {"data_centre", each.data_centre_},
                         {"held_version", each.held_version_},
                         {"behind_reason", each.behind_reason_}});
    }
    const nlohmann::json root{{"accepted_version", view.accepted_version_},
                              {"all_hold", view.all_hold_},
                              {"hosts", std::move(hosts)}};
    return root.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string print_text(const store::status_view& view)
{
    std::string text = view.accepted_version_ == 0
                           ? "no lists were applied yet\n"
                           : fmt::format("accepted version {}\n", view.accepted_version_);
    if (view.hosts_.empty()) {
        text += "no entry host is known; look at the host list\n";
    }
    for (std::size_t i = 0; i < view.hosts_.size();) {
        const std::string& data_centre = view.hosts_[i].data_centre_;
        std::size_t holding = 0;
        std::string behind;
        std::size_t end = i;
        for (; end < view.hosts_.size() && view.hosts_[end].data_centre_ == data_centre; ++end) {
            const store::host_version_status& host = view.hosts_[end];
            holding += host.behind_reason_.empty() ? 1U : 0U;
            if (!host.behind_reason_.empty()) {
                behind += fmt::format("    {} is at version {}: {}\n", host.id_, host.held_version_,
                                      host.behind_reason_);
            }
        }
        text +=
            fmt::format("{}: {} of {} hosts hold it\n{}", data_centre, holding, end - i, behind);
        i = end;
    }
    return text + (view.all_hold_ ? "held by all hosts\n" : "not held by all hosts\n");
}

} // namespace

int pull_lists(platform_access& access, std::ostream& out, std::ostream& err)
{
    const auto stored = read_lists(access);
    if (!stored) {
        print_errors(stored.error(), err);
        return exit_unknown;
    }
    out << plans::print_edited_file(*stored);
    return exit_ok;
}

int apply_lists(platform_access& access, plans::edited_file file, bool dry_run, std::ostream& out,
                std::ostream& err)
{
    plans::applier_options options;
    options.dry_run_ = dry_run;
    plans::applier state = plans::make_applier(std::move(file), options);
    plans::applier_step step = plans::first_step(state);
    while (step.action_ != plans::applier_action::done) {
        access.sleep_(step.wait_);
        const auto reply = call_and_wait(access.objects_, to_call(step, access.call_timeout_));
        step = on_reply(state, reply, access.now_ms_(), access.random_);
    }
    return print_report(step.report_, dry_run, out, err);
}

int show_status(platform_access& access, duration wait, bool as_json, std::ostream& out,
                std::ostream& err)
{
    auto view = read_status(access, err);
    for (duration waited{}; waited < wait && !(view && view->all_hold_);
         waited += status_poll_interval) {
        access.sleep_(status_poll_interval);
        view = read_status(access, err);
    }
    if (!view) {
        return exit_unknown;
    }
    out << (as_json ? print_json(*view) : print_text(*view));
    return view->all_hold_ ? exit_ok : exit_failure;
}

} // namespace savoryscale::cli
