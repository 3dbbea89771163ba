#include "common/platform_standin.hpp"

namespace savoryscale::standins {

using nlohmann::json;

platform_standin::platform_standin(boost::asio::io_context& io,
                                   const boost::asio::ip::tcp::endpoint& address,
                                   const boost::asio::ip::tcp::endpoint& control,
                                   std::uint64_t seed)
    : store_{io, seed},
      server_{io, address,
              [this](const control_request& request, const json_server::responder& respond) {
                  answer(request, respond);
              }},
      control_{io, control,
               [this](const control_request& request) { return this->control(request); }}
{
}

void platform_standin::answer(const control_request& request, const json_server::responder& respond)
{
    if (request.target_.rfind("/v1/objects", 0) == 0) {
        store_.answer(request, respond);
    }
    else if (request.method_ == "GET" && request.target_ == "/v1/hosts") {
        respond(host_list());
    }
    else {
        respond(control_reply{404, "{}"});
    }
}

control_reply platform_standin::host_list()
{
    ++host_reads_;
    if (hosts_refuse_) {
        return {503, "{}"};
    }
    const time_point newest_visible = monotonic_now() - host_lag_;
    while (hosts_.size() > 1 && hosts_[1].set_ <= newest_visible) {
        hosts_.pop_front();
    }
    return {200, json{{"hosts", hosts_.front().hosts_}}.dump()};
}

control_reply platform_standin::control(const control_request& request)
{
    if (request.method_ == "GET") {
        json counters = store_.counters();
        counters["host_reads"] = host_reads_;
        return {200, counters.dump()};
    }
    const json changes = json::parse(request.body_, nullptr, false);
    const std::string failure =
        changes.is_object() ? change(changes) : "the body is not a JSON object";
    if (!failure.empty()) {
        return {400, json{{"error", failure}}.dump()};
    }
    return {200, "{}"};
}

std::string platform_standin::change(const json& changes)
{
    if (changes.contains("object_api")) {
        std::string failure = store_.change_faults(changes["object_api"]);
        if (!failure.empty()) {
            return failure;
        }
    }
    if (changes.contains("hosts")) {
        hosts_.push_back({monotonic_now(), changes["hosts"]});
    }
    try {
        if (changes.contains("host_lag_ms")) {
            host_lag_ = std::chrono::milliseconds{changes["host_lag_ms"].get<std::int64_t>()};
        }
        hosts_refuse_ = changes.value("hosts_refuse", hosts_refuse_);
        if (changes.contains("down") && changes["down"].get<bool>()) {
            server_.close();
            store_.drop_watches();
        }
        else if (changes.contains("down")) {
            server_.listen();
        }
        return {};
    }
    catch (const json::exception& failure) {
        return failure.what();
    }
}

} // namespace savoryscale::standins
