#include "telemetry/otlp.hpp"

#include "base/version.hpp"
#include "telemetry/trace_context.hpp"

#include <nlohmann/json.hpp>

namespace savoryscale::telemetry {

namespace {

using nlohmann::json;

constexpr int status_error = 2; // STATUS_CODE_ERROR

json attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json print_span(const span& each)
{
    json printed{{"traceId", to_hex(each.trace_)},
                 {"spanId", to_hex(each.id_)},
                 {"name", each.name_},
                 {"kind", static_cast<int>(each.kind_)},
                 {"startTimeUnixNano", std::to_string(each.start_ns_)},
                 {"endTimeUnixNano", std::to_string(each.end_ns_)}};
    if (each.parent_ != span_id{}) {
        printed["parentSpanId"] = to_hex(each.parent_);
    }
    if (each.failed_) {
        printed["status"] = {{"code", status_error}};
    }
    json attributes = json::array();
    for (const auto& [key, value] : each.attributes_) {
        attributes.push_back(attribute(key, value));
    }
    printed["attributes"] = std::move(attributes);
    return printed;
}

} // namespace

std::string print_otlp(const trace_source& source, std::span<const span> spans)
{
    json printed = json::array();
    for (const span& each : spans) {
        printed.push_back(print_span(each));
    }
    const json resource{
        {"attributes", json::array({attribute("service.name", "savoryscale"),
                                    attribute("service.version", product_version),
                                    attribute("service.instance.id", source.host_id_),
                                    attribute("cloud.availability_zone", source.data_centre_),
                                    attribute("cloud.region", source.region_)})}};
    json scope_spans{{"scope", {{"name", "savoryscale"}}}, {"spans", std::move(printed)}};
    json resource_spans{{"resource", resource},
                        {"scopeSpans", json::array({std::move(scope_spans)})}};
    const json body{{"resourceSpans", json::array({std::move(resource_spans)})}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace savoryscale::telemetry
