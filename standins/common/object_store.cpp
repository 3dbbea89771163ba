#include "common/object_store.hpp"

#include "base/percent_encoding.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>
#include <utility>

namespace savoryscale::standins {

namespace {

using nlohmann::json;

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::size_t page_objects = 100;
constexpr std::string_view objects_path = "/v1/objects";

// Text that is not percent-encoded stands for itself.
std::string unescape(std::string_view text)
{
    return percent_decoded(text).value_or(std::string{text});
}

std::map<std::string, std::string> parse_query(std::string_view text)
{
    std::map<std::string, std::string> options;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('&'), text.size());
        const std::string_view option = text.substr(0, end);
        const std::size_t equals = std::min(option.find('='), option.size());
        options[unescape(option.substr(0, equals))] =
            equals == option.size() ? "" : unescape(option.substr(equals + 1));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return options;
}

std::uint64_t number_in(const std::map<std::string, std::string>& options, const std::string& name)
{
    std::uint64_t number = 0;
    const auto found = options.find(name);
    if (found != options.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
    }
    return number;
}

control_reply with_objects(json objects)
{
    return {200, json{{"objects", std::move(objects)}}.dump()};
}

control_reply failure(int status, std::string_view what)
{
    return {status, json{{"error", what}}.dump()};
}

} // namespace

void object_store::answer(const control_request& request, const json_server::responder& respond)
{
    if (faults_.delay_ms_ == 0) {
        serve(request, respond);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds{faults_.delay_ms_});
    timer->async_wait([this, timer, request, respond](const boost::system::error_code& stopped) {
        if (!stopped) {
            serve(request, respond);
        }
    });
}

void object_store::serve(const control_request& request, const json_server::responder& respond)
{
    const std::string& target = request.target_;
    const std::size_t path_end = std::min(target.find('?'), target.size());
    const std::string_view path = std::string_view{target}.substr(0, path_end);
    const query options =
        parse_query(std::string_view{target}.substr(std::min(path_end + 1, target.size())));
    const bool has_key = path.size() > objects_path.size() + 1;
    const std::string key = has_key ? unescape(path.substr(objects_path.size() + 1)) : "";
    const bool is_read = request.method_ == "GET";
    const bool is_watch = is_read && options.count("wait_ms") != 0;

    ++calls_[is_watch                       ? "watch"
             : is_read                      ? (has_key ? "get" : "list")
             : request.method_ == "DELETE"  ? "remove"
             : options.count("absent") != 0 ? "create"
                                            : "update"];
    if (faults_.refuse_) {
        respond(failure(503, "refused by an injected fault"));
    }
    else if (is_watch) {
        start_watch(key, options, respond);
    }
    else if (is_read) {
        respond(has_key ? get(key) : list(options));
    }
    else if (has_key) {
        if (auto reply = write(key, options, request)) {
            respond(std::move(reply));
        }
        else {
            respond(std::nullopt);
        }
    }
    else {
        respond(failure(400, "no key"));
    }
}

json object_store::visible_object(const std::string& key, const stored& object)
{
    if (object.previous_value_ && happens(faults_.stale_read_)) {
        return {{"key", key},
                {"value", *object.previous_value_},
                {"version", object.previous_version_}};
    }
    return {{"key", key}, {"value", object.value_}, {"version", object.version_}};
}

control_reply object_store::get(const std::string& key)
{
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return failure(404, "no such object");
    }
    return with_objects(json::array({visible_object(key, found->second)}));
}

control_reply object_store::list(const query& options)
{
    const auto option = [&options](const char* name) {
        const auto found = options.find(name);
        return found == options.end() ? std::string{} : found->second;
    };
    const std::string prefix = option("prefix");
    const std::string after = option("after");
    json page{{"objects", json::array()}};
    auto at = after.empty() ? objects_.lower_bound(prefix) : objects_.upper_bound(after);
    for (; at != objects_.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
        if (page["objects"].size() == page_objects) {
            page["next"] = page["objects"].back()["key"];
            break;
        }
        page["objects"].push_back(visible_object(at->first, at->second));
    }
    return {200, page.dump()};
}

std::optional<control_reply> object_store::write(const std::string& key, const query& options,
                                                 const control_request& request)
{
    if (happens(faults_.lose_request_)) {
        return std::nullopt;
    }
    control_reply reply = apply_write(key, options, request);
    if (reply.status_ == 200) {
        ++writes_;
        wake_watches(key);
    }
    if (happens(faults_.lose_answer_)) {
        return std::nullopt;
    }
    return reply;
}

control_reply object_store::apply_write(const std::string& key, const query& options,
                                        const control_request& request)
{
    const auto found = objects_.find(key);
    const std::uint64_t current = found == objects_.end() ? 0 : found->second.version_;
    const std::uint64_t expected = number_in(options, "version");
    if (current != expected) {
        return failure(409, "the object is at another version");
    }
    if (request.method_ == "DELETE") {
        if (current == 0) {
            return failure(404, "no such object");
        }
        objects_.erase(found);
        return with_objects(json::array({json{{"key", key}, {"version", ++version_}}}));
    }
    const json body = json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body["value"].is_string()) {
        return failure(400, "the body is not a JSON object with a string \"value\"");
    }
    auto value = body["value"].get<std::string>();
    if (value.size() > max_value_bytes) {
        return failure(413, "the value is too large");
    }
    stored& object = objects_[key];
    if (current != 0) {
        object.previous_value_ = std::move(object.value_);
        object.previous_version_ = object.version_;
    }
    object.value_ = std::move(value);
    object.version_ = ++version_;
    return with_objects(json::array({json{{"key", key}, {"version", object.version_}}}));
}

void object_store::start_watch(const std::string& key, const query& options,
                               const json_server::responder& respond)
{
    const std::uint64_t above = number_in(options, "above");
    const auto found = objects_.find(key);
    if (!faults_.silent_watch_ && found != objects_.end() && found->second.version_ > above) {
        const stored& object = found->second;
        respond(with_objects(json::array(
            {json{{"key", key}, {"value", object.value_}, {"version", object.version_}}})));
        return;
    }
    const std::uint64_t id = next_watch_++;
    const auto wait = std::chrono::milliseconds{number_in(options, "wait_ms")};
    auto timer = std::make_unique<boost::asio::steady_timer>(io_, wait);
    timer->async_wait([this, id](const boost::system::error_code& stopped) {
        const auto waiting = watches_.find(id);
        if (stopped || faults_.silent_watch_ || waiting == watches_.end()) {
            return;
        }
        const auto answer_it = std::move(waiting->second.respond_);
        watches_.erase(waiting);
        answer_it(with_objects(json::array()));
    });
    watches_.emplace(id, watch{key, above, respond, std::move(timer)});
}

void object_store::wake_watches(const std::string& key)
{
    const auto found = objects_.find(key);
    if (faults_.silent_watch_ || found == objects_.end()) {
        return;
    }
    const json object{
        {"key", key}, {"value", found->second.value_}, {"version", found->second.version_}};
    for (auto at = watches_.begin(); at != watches_.end();) {
        watch& each = at->second;
        if (each.key_ == key && found->second.version_ > each.above_) {
            const auto answer_it = std::move(each.respond_);
            at = watches_.erase(at);
            answer_it(with_objects(json::array({object})));
        }
        else {
            ++at;
        }
    }
}

void object_store::drop_watches()
{
    for (const auto& [id, each] : std::exchange(watches_, {})) {
        each.respond_(std::nullopt);
    }
}

std::string object_store::change_faults(const json& changes)
{
    try {
        store_faults next = faults_;
        next.lose_answer_ = changes.value("lose_answer", next.lose_answer_);
        next.lose_request_ = changes.value("lose_request", next.lose_request_);
        next.stale_read_ = changes.value("stale_read", next.stale_read_);
        next.silent_watch_ = changes.value("silent_watch", next.silent_watch_);
        next.refuse_ = changes.value("refuse", next.refuse_);
        next.delay_ms_ = changes.value("delay_ms", next.delay_ms_);
        if (faults_.silent_watch_ && !next.silent_watch_) {
            drop_watches(); // those already waiting may have missed their update
        }
        faults_ = next;
        return {};
    }
    catch (const json::exception& json_error) {
        return json_error.what();
    }
}

json object_store::counters() const
{
    return {{"calls", calls_},
            {"writes", writes_},
            {"watches_waiting", watches_.size()},
            {"objects", objects_.size()},
            {"version", version_}};
}

} // namespace savoryscale::standins
