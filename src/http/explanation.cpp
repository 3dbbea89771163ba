#include "http/explanation.hpp"

#include "base/percent_encoding.hpp"
#include "base/text.hpp"
#include "http/http_task.hpp"
#include "http/log_fields.hpp"
#include "routing/explanation.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace savoryscale::http {

namespace {

using nlohmann::json;

constexpr std::size_t text_max = 8192; // bytes of one value

json explain_target(const routing::service_view& view, const routing::explained_target& each)
{
    const routing::target_info& info = view.targets_[each.target_].info_;
    json target{{"address", to_string(info.address_)},
                {"data_centre", info.data_centre_},
                {"usable", each.why_not_.empty()},
                {"own_in_flight", each.own_in_flight_}};
    if (!each.why_not_.empty()) {
        target["why_not"] = each.why_not_;
    }
    if (each.reported_in_flight_) {
        target["reported_in_flight"] = *each.reported_in_flight_;
        target["report_age_ms"] = log_ms(each.report_age_);
    }
    if (each.usual_latency_) {
        target["usual_ms"] = log_ms(*each.usual_latency_);
    }
    if (each.limit_per_second_) {
        target["limit_per_second"] = *each.limit_per_second_;
    }
    if (each.is_expected_) {
        target["expected"] = true;
    }
    return target;
}

json explain_service(http_task& task, const routes::weighted_service& part)
{
    json service{{"name", part.service_}, {"weight", part.weight_}, {"targets", json::array()}};
    if (const service_state* known = task.known_service(part.service_)) {
        for (const auto& each : routing::explain_targets(known->view_, task.loop().now())) {
            service["targets"].push_back(explain_target(known->view_, each));
        }
    }
    return service;
}

// What becomes of the request at the first check that refuses it; empty: it goes on to a target.
std::string refusal_of(const routes::table& routes, const routes::route* route,
                       const explained_request& asked)
{
    if (route == nullptr) {
        return "404: no route has this host and path";
    }
    if (!routes.keys_ || (asked.organisation_.empty() && !route->needs_key_)) {
        return {};
    }
    if (asked.organisation_.empty()) {
        return "401: the route needs a key; name an organisation";
    }
    return organisations::find_by_name(*routes.keys_, asked.organisation_) != nullptr
               ? std::string{}
               : "401: the desired state lists no organisation of this name";
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string write_explain_path(const explained_request& asked)
{
    return fmt::format("{}host={}&path={}&organisation={}", explain_path_prefix,
                       percent_encoded(asked.host_), percent_encoded(asked.path_),
                       percent_encoded(asked.organisation_));
}

std::optional<explained_request> read_explain_path(std::string_view path)
{
    if (!path.starts_with(explain_path_prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(explain_path_prefix.size());
    explained_request asked;
    while (!path.empty()) {
        std::string_view value = take_until(path, '&');
        const std::string_view name = take_until(value, '=');
        const auto decoded = percent_decoded(value);
        if (!decoded || decoded->size() > text_max) {
            return std::nullopt;
        }
        if (name == "host") {
            asked.host_ = *decoded;
        }
        else if (name == "path") {
            asked.path_ = *decoded;
        }
        else if (name == "organisation") {
            asked.organisation_ = *decoded;
        }
    }
    return asked;
}

std::string explain(http_task& task, const explained_request& asked)
{
    if (!task.routes()) {
        return dump({{"refused", "503: no desired state is known on this host yet"}});
    }
    const routes::table& routes = *task.routes();
    const routes::route* route = routes::find_route(routes, asked.host_, asked.path_);
    json answer{{"version", routes.state_.version_}};
    if (const std::string refused = refusal_of(routes, route, asked); !refused.empty()) {
        answer["refused"] = refused;
    }
    if (route != nullptr) {
        const auto* organisation =
            routes.keys_ && !asked.organisation_.empty()
                ? organisations::find_by_name(*routes.keys_, asked.organisation_)
                : nullptr;
        answer["route"] = {{"name", route->name_},
                           {"prefix", route->path_prefix_},
                           {"needs_key", routes.keys_.has_value() && route->needs_key_},
                           {"priority", organisation != nullptr
                                            ? organisation->priority_.value_or(route->priority_)
                                            : route->priority_},
                           {"objective_ms", log_ms(route->latency_objective_)},
                           {"timeout_ms", log_ms(route->timeout_)}};
        if (organisation != nullptr) {
            answer["organisation"] = {{"name", organisation->name_},
                                      {"per_second", organisation->allotment_.per_second_},
                                      {"burst", organisation->allotment_.burst_}};
        }
        answer["services"] = json::array();
        for (const routes::weighted_service& part : route->weighted_services_) {
            answer["services"].push_back(explain_service(task, part));
        }
    }
    return dump(answer);
}

std::optional<std::string> describe_explanation(std::string_view text)
{
    const json answer = json::parse(text, nullptr, false);
    if (!answer.is_object()) {
        return std::nullopt;
    }
    std::string words;
    const auto line = [&words](std::string_view name, const std::string& fact) {
        fmt::format_to(std::back_inserter(words), "{:<12} {}\n", name, fact);
    };
    if (answer.contains("version")) {
        line("version", fmt::format("{} of the desired state", dump(answer["version"])));
    }
    if (answer.contains("route")) {
        const json& route = answer["route"];
        line("route", fmt::format("{}, prefix {}, priority {}, objective {} ms, timeout {} ms",
                                  route.value("name", ""), route.value("prefix", ""),
                                  dump(route["priority"]), route.value("objective_ms", ""),
                                  route.value("timeout_ms", "")));
    }
    if (answer.contains("organisation")) {
        const json& organisation = answer["organisation"];
        line("organisation",
             fmt::format("{}, {} requests a second and a burst of {} (0: no limit)",
                         organisation.value("name", ""), dump(organisation["per_second"]),
                         dump(organisation["burst"])));
    }
    if (answer.contains("refused")) {
        line("refused", answer.value("refused", ""));
    }
    for (const json& service : answer.value("services", json::array())) {
        line("service", fmt::format("{}, weight {}, {} targets", service.value("name", ""),
                                    dump(service["weight"]), service["targets"].size()));
        for (const json& target : service["targets"]) {
            std::string fact =
                fmt::format("{} in {}: {}; {} of this host in flight", target.value("address", ""),
                            target.value("data_centre", ""),
                            target.value("why_not", target.value("expected", false)
                                                        ? "expected, by earlier reports"
                                                        : "usable"),
                            dump(target["own_in_flight"]));
            if (target.contains("reported_in_flight")) {
                fact +=
                    fmt::format(", {} of all hosts {} ms ago", dump(target["reported_in_flight"]),
                                target.value("report_age_ms", ""));
            }
            if (target.contains("usual_ms")) {
                fact += fmt::format(", usually {} ms", target.value("usual_ms", ""));
            }
            if (target.contains("limit_per_second")) {
                fact += fmt::format(", {} a second at most", dump(target["limit_per_second"]));
            }
            line("  target", fact);
        }
    }
    return words;
}

} // namespace savoryscale::http
