#include "common/upstream_farm.hpp"

#include "common/content.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace savoryscale::standins {

using boost::asio::ip::tcp;
using nlohmann::json;

namespace {

json to_json(const target& subject)
{
    const target_counters& c = subject.counters_;
    return {{"port", subject.address().port()},
            {"draining", subject.draining()},
            {"requests", c.requests_},
            {"started", c.started_},
            {"cancelled", c.cancelled_},
            {"shed", c.shed_},
            {"failed", c.failed_},
            {"probes", c.probes_},
            {"faults", c.faults_},
            {"crashes", c.crashes_},
            {"connections", c.connections_},
            {"connections_max", c.connections_max_},
            {"connections_opened", c.connections_opened_},
            {"requests_after_drain", c.requests_after_drain_},
            {"requests_after_drain_3s", c.requests_after_drain_3s_}};
}

control_reply bad_request(const error& reason)
{
    return {400, json{{"error", to_string(reason)}}.dump() + "\n"};
}

} // namespace

upstream_farm::upstream_farm(boost::asio::io_context& io, const tcp::endpoint& first,
                             std::size_t count, const behaviour& traits, std::uint64_t seed)
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto port = first.port() == 0 ? std::size_t{0} : first.port() + i; // 0: any free port
        const tcp::endpoint address{first.address(), static_cast<std::uint16_t>(port)};
        targets_.push_back(std::make_unique<target>(io, address, traits, shared_, seed + i));
    }
}

void upstream_farm::start()
{
    for (const auto& one : targets_) {
        one->start();
    }
}

control_reply upstream_farm::control(const control_request& request)
{
    const std::string_view path =
        std::string_view{request.target_}.substr(0, std::string_view{request.target_}.find('?'));
    constexpr std::string_view prefix = "/control/";
    if (path.substr(0, prefix.size()) != prefix) {
        return {404, "{}\n"};
    }
    const std::string_view action = path.substr(prefix.size());
    if (action == "counters") {
        return counters(query_value(request.target_, "commits") != "0");
    }
    const auto chosen = select_targets(query_value(request.target_, "targets"));
    if (!chosen) {
        return bad_request(chosen.error());
    }
    if (action == "behaviour") {
        return change_behaviour(*chosen, request.body_);
    }
    return apply_action(*chosen, action) ? control_reply{200, "{}\n"} : control_reply{404, "{}\n"};
}

control_reply upstream_farm::counters(bool with_commits) const
{
    json answer{{"targets", json::array()}, {"probes_per_second", shared_.probes_per_second_}};
    for (const auto& one : targets_) {
        answer["targets"].push_back(to_json(*one));
    }
    if (with_commits) {
        json& commits = answer["commits"] = json::object();
        for (const auto& [id, count] : shared_.commits_) {
            commits[id] = {count.started_, count.ran_};
        }
    }
    return {200, answer.dump() + "\n"};
}

control_reply upstream_farm::change_behaviour(const std::vector<target*>& chosen,
                                              std::string_view text)
{
    const json changes = json::parse(text, nullptr, false);
    for (target* one : chosen) {
        const auto changed = with_changes(one->behaviour_, changes);
        if (!changed) {
            return bad_request(changed.error());
        }
        one->behaviour_ = *changed;
    }
    return {200, "{}\n"};
}

bool upstream_farm::apply_action(const std::vector<target*>& chosen, std::string_view action)
{
    if (action == "reset") {
        shared_.commits_.clear();
        shared_.probes_per_second_.clear();
    }
    for (target* one : chosen) {
        if (action == "drain") {
            one->drain();
        }
        else if (action == "restore") {
            one->restore();
        }
        else if (action == "crash") {
            one->crash();
        }
        else if (action == "silence") {
            one->silence();
        }
        else if (action == "reset") {
            const auto open = one->counters_.connections_;
            one->counters_ = {};
            one->counters_.connections_ = open;
            one->counters_.connections_max_ = open;
        }
        else {
            return false;
        }
    }
    return true;
}

result<std::vector<target*>> upstream_farm::select_targets(std::string_view list)
{
    std::vector<target*> chosen;
    if (list.empty()) {
        for (const auto& one : targets_) {
            chosen.push_back(one.get());
        }
        return chosen;
    }
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        std::size_t index = targets_.size();
        std::from_chars(item.data(), item.data() + item.size(), index);
        if (index >= targets_.size()) {
            return tl::unexpected{
                error{error_kind::invalid, "targets", "no such target",
                      "give the numbers of targets, counted from 0, such as 0,3"}};
        }
        chosen.push_back(targets_[index].get());
    }
    return chosen;
}

} // namespace savoryscale::standins
