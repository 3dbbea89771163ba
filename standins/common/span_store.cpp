#include "common/span_store.hpp"

#include <nlohmann/json.hpp>

namespace savoryscale::standins {

namespace {

using nlohmann::json;

bool is_hex(const std::string& text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

control_reply span_store::handle(const control_request& request)
{
    if (request.method_ == "POST" && request.target_ == "/v1/traces") {
        return add(request.body_);
    }
    if (request.method_ == "GET" && request.target_ == "/counts") {
        return counts();
    }
    return {404, "{}"};
}

control_reply span_store::add(const std::string& body)
{
    try {
        const json parsed = json::parse(body);
        for (const json& resource : parsed.at("resourceSpans")) {
            for (const json& scope : resource.at("scopeSpans")) {
                for (const json& span : scope.at("spans")) {
                    const auto trace = span.at("traceId").get<std::string>();
                    if (!is_hex(trace, 32) || !is_hex(span.at("spanId").get<std::string>(), 16)) {
                        return {400, R"({"message":"bad id"})"};
                    }
                    traces_.insert(trace);
                    ++spans_[span.at("name").get<std::string>()];
                }
            }
        }
    }
    catch (const json::exception& failure) {
        return {400, json{{"message", failure.what()}}.dump()};
    }
    return {200, "{}"};
}

control_reply span_store::counts() const
{
    return {200, json{{"spans", spans_}, {"traces", traces_.size()}}.dump()};
}

} // namespace savoryscale::standins
